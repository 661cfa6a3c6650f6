#include "traffic/chat/attempt_runner.h"

#include <algorithm>

namespace samphireway::traffic {

namespace {

bool is_retryable(core::error_code code)
{
    return code == core::error_code::upstream_failed || code == core::error_code::upstream_timeout ||
           code == core::error_code::overloaded;
}

core::verdict worse_verdict(core::verdict left, core::verdict right)
{
    return std::max(left, right);
}

} // namespace

endpoint endpoint_of(const configuration::upstream& upstream)
{
    return endpoint{.address = upstream.address, .port = upstream.port, .uses_tls = upstream.uses_tls};
}

attempt_runner::attempt_runner(attempt_services services_to_use) : services(std::move(services_to_use)) {}

engine_outcome attempt_runner::run(attempt_progress& progress, const chunk_receiver& receive) const
{
    engine_outcome outcome;
    while (true) {
        core::result<admitted_upstream> target = this->admit(progress);
        if (!target) {
            // If a retry is not admitted, the caller gets the failure of the attempt before it.
            if (!outcome.failure) {
                outcome.failure = target.error();
            }
            break;
        }
        outcome = this->attempt(progress, *target, receive);
        target->slot.release();
        this->report(target->choice, outcome);
        if (!outcome.failure) {
            progress.run = core::verdict::ran;
            this->services.retries->earn(progress.upstream);
            return outcome;
        }
        progress.run = worse_verdict(progress.run, outcome.failure->run);
        if (!this->may_continue(progress, *outcome.failure)) {
            break;
        }
    }
    outcome.failure->run = worse_verdict(outcome.failure->run, progress.run);
    return outcome;
}

core::result<attempt_runner::admitted_upstream> attempt_runner::admit(const attempt_progress& progress) const
{
    std::vector<routing::upstream_choice> ranked;
    if (progress.pinned) {
        ranked.push_back(*progress.pinned);
    }
    else {
        ranked = this->services.rank(*progress.configuration, progress.route);
    }
    if (progress.attempts > 0 && !progress.pinned) {
        std::erase_if(ranked, [this](const routing::upstream_choice& choice) {
            return !this->services.retries->has_retry(choice.upstream.id);
        });
    }
    if (ranked.empty()) {
        return core::failure(core::error_code::no_upstream,
                             "no upstream is available for model " + progress.route.model);
    }
    std::vector<std::string> ids;
    ids.reserve(ranked.size());
    for (const routing::upstream_choice& choice : ranked) {
        ids.push_back(choice.upstream.id);
    }
    const core::steady_time latest = std::chrono::steady_clock::now() + this->services.admission_timeout;
    core::result<limits::slot> slot =
        this->services.gate->admit(ids, {.workspace = progress.route.workspace,
                                         .priority = progress.route.priority,
                                         .estimate = progress.route.estimated_tokens,
                                         .deadline = std::min(latest, progress.deadline)});
    if (!slot) {
        return tl::unexpected(slot.error());
    }
    const bool is_retry = progress.attempts > 0 && !progress.pinned;
    if (is_retry && !this->services.retries->spend(slot->upstream())) {
        return core::failure(core::error_code::overloaded,
                             "the retry budget of upstream " + slot->upstream() + " is used up");
    }
    const auto chosen =
        std::find_if(ranked.begin(), ranked.end(), [&](const routing::upstream_choice& choice) {
            return choice.upstream.id == slot->upstream();
        });
    return admitted_upstream{.choice = std::move(*chosen), .slot = std::move(*slot)};
}

engine_outcome attempt_runner::attempt(attempt_progress& progress, const admitted_upstream& target,
                                       const chunk_receiver& receive) const
{
    this->services.on_attempt(target.choice, progress.route);
    if (progress.last_failure) {
        progress.failed_attempts.push_back(failed_attempt{
            .upstream = progress.upstream, .version = progress.version, .failure = *progress.last_failure});
    }
    ++progress.attempts;
    progress.upstream = target.choice.upstream.id;
    progress.version = target.choice.version;
    Json::Value body = progress.body;
    body["stream"] = true;
    body["version"] = progress.version;
    body["priority"] = progress.route.priority;
    body["stream_id"] = progress.stream_id;
    if (progress.position > 0) {
        body["resume_from"] = static_cast<Json::Int64>(progress.position);
    }
    const engine_request request{.where = endpoint_of(target.choice.upstream),
                                 .body = core::write_json(body),
                                 .request_id = progress.request_id,
                                 .stream_id = progress.stream_id,
                                 .resume_from = progress.position,
                                 .may_send = [&target] { return target.slot.may_send(); },
                                 .first_byte_deadline =
                                     std::chrono::steady_clock::now() + this->services.first_byte_timeout,
                                 .gap_timeout = this->services.gap_timeout,
                                 .deadline = progress.deadline};
    engine_outcome outcome =
        call_engine(*this->services.connections, *this->services.watch, request, receive);
    progress.last_failure = outcome.failure;
    if (outcome.chunks > 0) {
        progress.pinned = target.choice;
        progress.position = outcome.next_position;
    }
    return outcome;
}

void attempt_runner::report(const routing::upstream_choice& target, const engine_outcome& outcome) const
{
    if (!outcome.failure) {
        this->services.report(target.upstream.id, call_report::succeeded);
        return;
    }
    const core::error_code code = outcome.failure->code;
    if (code != core::error_code::upstream_failed && code != core::error_code::upstream_timeout) {
        return;
    }
    const core::steady_time deadline = std::chrono::steady_clock::now() + this->services.probe_timeout;
    const bool is_alive = is_engine_alive(*this->services.connections, *this->services.watch,
                                          endpoint_of(target.upstream), deadline);
    this->services.report(target.upstream.id, is_alive ? call_report::failed : call_report::dead);
}

bool attempt_runner::may_continue(attempt_progress& progress, const core::error& failure) const
{
    const bool has_time = std::chrono::steady_clock::now() < progress.deadline;
    if (!is_retryable(failure.code) || !has_time || this->services.watch->is_interrupted()) {
        return false;
    }
    if (progress.pinned) {
        ++progress.resumes;
        return progress.resumes <= this->services.maximum_resumes &&
               this->services.retries->spend(progress.upstream);
    }
    progress.route.excluded.insert(progress.upstream);
    return progress.attempts < this->services.maximum_attempts;
}

} // namespace samphireway::traffic
