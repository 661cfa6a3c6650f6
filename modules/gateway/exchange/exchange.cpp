#include "gateway/exchange/exchange.h"

#include "gateway/exchange/refusal.h"
#include "gateway/exchange/upstream_choice.h"

#include <algorithm>

namespace samphireway::gateway {

namespace {

using std::chrono::milliseconds;
using clock = std::chrono::steady_clock;

constexpr std::size_t maximum_whole_response = 16U << 20U;
// A requester that reads slower than its upstream writes holds at most about this much of a stream here.
constexpr std::size_t maximum_queued_bytes = 256U << 10U;
// Expected time until a refused request finds a place: about one engine step of a full batch's requests.
constexpr milliseconds expected_place{300};
// Outages of the store last seconds, so a refused requester comes back as late as it may.
constexpr milliseconds expected_draw{4000};
constexpr std::int64_t logged_share = 16; ///< One of this many plain successes is logged.
constexpr unsigned first_error_status = 400;

} // namespace

exchange::exchange(gateway_context& shared, request_message received, responder answer,
                   core::steady_time arrived_at)
    : context(shared), request(std::move(received)), requester(std::move(answer)), arrival(arrived_at),
      deadline_timer(shared.io), silence_timer(shared.io)
{
}

void exchange::start()
{
    ++this->context.counts.requests_in_flight;
    const core::result<void> outcome =
        resolve_request(this->resolved, this->context, this->request, this->arrival);
    this->history.deadline = this->resolved.deadline;
    if (!outcome) {
        this->refuse(outcome.error());
        return;
    }
    this->arm_deadline();
    this->reserve_budget();
}

void exchange::reserve_budget()
{
    const std::int64_t tokens = this->resolved.facts.maximum_tokens();
    if (this->resolved.customer == nullptr || !this->resolved.customer->prepaid_tokens || tokens <= 0) {
        this->begin_attempt();
        return;
    }
    this->context.budget.reserve(this->resolved.customer->name, tokens, clock::now(), this->history.deadline,
                                 [self = this->shared_from_this()](core::result<held_budget> outcome) {
                                     if (self->is_finished) {
                                         if (outcome) {
                                             self->context.budget.settle(*outcome, 0);
                                         }
                                         return;
                                     }
                                     if (!outcome) {
                                         self->refuse_for_budget(outcome.error());
                                         return;
                                     }
                                     self->reserved = std::move(*outcome);
                                     self->begin_attempt();
                                 });
}

void exchange::refuse_for_budget(const core::error& cause)
{
    if (cause.code == core::error_code::budget_exhausted) {
        this->refuse(cause);
        return;
    }
    // An account that is missing has not been created from the newest configuration yet.
    this->refuse(core::error{.code = core::error_code::budget_unavailable,
                             .message = cause.message,
                             .retry_after = expected_draw});
}

void exchange::begin_attempt()
{
    const std::shared_ptr<const upstream> target =
        find_upstream(this->context,
                      upstream_search{.service_name = this->resolved.service_name,
                                      .tried = this->tried,
                                      .prefix = this->resolved.prefix,
                                      .selector = this->resolved.selector,
                                      .is_idempotent = is_idempotent(*this->resolved.matched)},
                      clock::now());
    if (target == nullptr) {
        this->refuse(core::error{.code = core::error_code::no_upstream,
                                 .message = "no upstream of the service can take the request",
                                 .retry_after = expected_place});
        return;
    }
    this->send_to(target);
}

void exchange::send_to(const std::shared_ptr<const upstream>& target)
{
    this->current = target;
    this->tried.insert(target->id);
    this->use = response_use::undecided;
    this->body.clear();
    this->context.loads.begin(target->id);
    const core::steady_time now = clock::now();

    request_message message{.method = this->request.method,
                            .target = this->request.target,
                            .headers = this->request.headers,
                            .body = this->request.body};
    remove_connection_headers(message.headers);
    const int priority = this->resolved.customer != nullptr && this->resolved.customer->priority
                             ? *this->resolved.customer->priority
                             : this->resolved.matched->priority;
    this->context.dialect.write_request(
        message.headers,
        forwarding_facts{.time_left = this->time_left(),
                         .upstream_id = target->id,
                         .workspace = this->resolved.customer == nullptr ? "" : this->resolved.customer->name,
                         .priority = priority,
                         .last_event_id = this->events.last_id().empty() ? this->resolved.facts.last_event_id
                                                                         : this->events.last_id()});
    this->connection = this->context.pool.acquire(*target, now);
    this->arm_silence();
    const std::shared_ptr<exchange> self = this->shared_from_this();
    this->connection->send(
        message,
        upstream_hooks{.on_head = [self](const response_head& received) { return self->on_head(received); },
                       .on_body = [self](std::string_view bytes) { self->on_body(bytes); },
                       .on_end =
                           [self](upstream_result result) {
                               self->on_end(result);
                           }});
}

response_owner exchange::on_head(const response_head& received)
{
    const response_facts read = this->context.dialect.read_response(received);
    const bool is_unnamed_refusal = read.attempt_id.empty() && (read.is_not_run || read.is_wrong_upstream);
    if (read.attempt_id != this->resolved.facts.attempt_id && !is_unnamed_refusal) {
        core::log_event(core::log_level::warning, "response_discarded",
                        {{"request", this->resolved.facts.attempt_id},
                         {"upstream", this->current->id},
                         {"echoed", read.attempt_id},
                         {"status", received.status}});
        return response_owner::earlier_request;
    }
    this->use = classify_response(this->resolved.matched->kind, received, read, this->has_begun_stream);
    if (!this->has_begun_stream) {
        this->head = received;
    }
    return response_owner::this_request;
}

void exchange::on_body(std::string_view bytes)
{
    this->arm_silence();
    if (this->use == response_use::pass_stream) {
        this->pass_events(bytes);
        return;
    }
    if (this->body.size() + bytes.size() > maximum_whole_response) {
        this->attempt_failed("response_too_large");
        return;
    }
    this->body += bytes;
}

void exchange::pass_events(std::string_view bytes)
{
    std::string whole = this->events.feed(bytes);
    if (whole.empty()) {
        return;
    }
    if (!this->has_begun_stream) {
        this->has_begun_stream = true;
        this->history.has_started = true;
        this->first_output = clock::now();
        remove_connection_headers(this->head.headers);
        this->requester.begin_stream(this->head);
    }
    this->requester.send_part(std::move(whole));
    if (!this->is_finished && this->requester.queued_bytes() > maximum_queued_bytes) {
        this->is_reading_paused = true;
        this->connection->pause_reading();
    }
}

void exchange::output_drained()
{
    if (this->is_reading_paused && this->connection != nullptr) {
        this->is_reading_paused = false;
        this->connection->resume_reading();
    }
}

void exchange::on_end(upstream_result result)
{
    this->silence_timer.cancel();
    if (result == upstream_result::not_connected) {
        ++this->history.failed_connects;
        this->context.health.failed(this->current->id, true, clock::now());
        this->context.pool.drop(this->current->id);
        this->attempt_failed("not_connected");
        return;
    }
    ++this->history.sends;
    if (result == upstream_result::broken) {
        this->history.may_have_run = true;
        this->context.health.failed(this->current->id, false, clock::now());
        this->attempt_failed("broken");
        return;
    }
    this->on_complete();
}

void exchange::on_complete()
{
    const core::steady_time now = clock::now();
    const response_facts read = this->context.dialect.read_response(this->head);
    if (this->use == response_use::not_run) {
        if (read.is_wrong_upstream) {
            this->context.health.failed(this->current->id, true, now);
        }
        else {
            this->context.loads.refused_as_full(this->current->id, now);
        }
        this->release_upstream(true);
        this->attempt_failed("refused_by_upstream");
        return;
    }
    this->history.may_have_run = true;
    if (this->use == response_use::unusable) {
        this->context.health.failed(this->current->id, false, now);
        this->attempt_failed("unusable_response");
        return;
    }
    this->context.health.succeeded(this->current->id);
    ++this->context.counts.attempt_results["complete"];
    if (this->use == response_use::pass_stream) {
        this->release_upstream(true);
        this->complete_stream();
        return;
    }
    const bool is_failure = this->head.status / 100 == 5;
    if (is_failure &&
        may_try_again(*this->resolved.matched, this->history, now) == next_attempt::needs_budget &&
        this->context.retries.has_any(this->resolved.service_name)) {
        this->release_upstream(true);
        this->attempt_failed("failed_by_upstream");
        return;
    }
    this->release_upstream(true);
    remove_connection_headers(this->head.headers);
    this->first_output = now;
    const unsigned status = this->head.status;
    const std::shared_ptr<exchange> self = this->shared_from_this();
    this->finish(status < first_error_status ? "served" : "failed_by_upstream", status, "");
    this->requester.send_whole(this->head, this->body);
}

void exchange::complete_stream()
{
    if (!this->has_begun_stream) {
        remove_connection_headers(this->head.headers);
        this->requester.begin_stream(this->head);
        this->has_begun_stream = true;
    }
    if (!this->events.partial().empty()) {
        this->requester.send_part(this->events.partial());
    }
    const std::shared_ptr<exchange> self = this->shared_from_this();
    this->finish("served", this->head.status, "");
    this->requester.end_stream();
}

void exchange::attempt_failed(std::string_view cause)
{
    const std::shared_ptr<exchange> self = this->shared_from_this();
    this->silence_timer.cancel();
    ++this->context.counts.attempt_results[std::string(cause)];
    core::log_event(core::log_level::info, "attempt_failed",
                    {{"request", this->resolved.facts.attempt_id},
                     {"upstream", this->current->id},
                     {"cause", cause},
                     {"status", this->head.status},
                     {"sends", this->history.sends},
                     {"events", this->events.count()},
                     {"time_left_ms", this->time_left().count()}});
    this->release_upstream(false);
    this->events.drop_partial();
    next_attempt next = may_try_again(*this->resolved.matched, this->history, clock::now());
    if (next == next_attempt::needs_budget && !this->context.retries.spend(this->resolved.service_name)) {
        next = next_attempt::forbidden;
    }
    if (next != next_attempt::forbidden) {
        this->context.counts.retries += this->history.sends > 0 ? 1 : 0;
        this->context.counts.resumed_streams += this->history.has_started ? 1 : 0;
        this->begin_attempt();
        return;
    }
    this->refuse(core::error{.code = core::error_code::no_upstream,
                             .message = "the attempt at an upstream failed: " + std::string(cause),
                             .retry_after = expected_place});
}

void exchange::release_upstream(bool is_reusable)
{
    if (this->connection == nullptr) {
        return;
    }
    this->context.loads.end(this->current->id);
    const std::shared_ptr<upstream_connection> ended = std::move(this->connection);
    this->connection = nullptr;
    if (is_reusable) {
        this->context.pool.release(this->current->id, ended, clock::now());
        return;
    }
    ended->close();
}

void exchange::arm_deadline()
{
    this->deadline_timer.expires_at(this->history.deadline);
    this->deadline_timer.async_wait([self = this->shared_from_this()](boost::system::error_code failure) {
        if (!failure && !self->is_finished) {
            self->on_deadline();
        }
    });
}

void exchange::arm_silence()
{
    if (!is_idempotent(*this->resolved.matched)) {
        return;
    }
    this->silence_timer.expires_after(silence_limit(*this->resolved.matched, this->has_begun_stream));
    this->silence_timer.async_wait([self = this->shared_from_this()](boost::system::error_code failure) {
        if (!failure && !self->is_finished && self->connection != nullptr) {
            self->on_silence();
        }
    });
}

void exchange::on_silence()
{
    if (this->is_reading_paused) {
        return;
    }
    attempt_history after = this->history;
    ++after.sends;
    after.may_have_run = true;
    const bool may_move =
        may_try_again(*this->resolved.matched, after, clock::now()) == next_attempt::needs_budget &&
        this->context.retries.has_any(this->resolved.service_name);
    if (!may_move) {
        return; // The response may still come before the deadline.
    }
    this->history = after;
    this->context.health.failed(this->current->id, false, clock::now());
    this->attempt_failed("silent");
}

void exchange::on_deadline()
{
    const bool is_at_upstream = this->connection != nullptr;
    if (is_at_upstream) {
        this->context.health.failed(this->current->id, false, clock::now());
    }
    this->history.may_have_run = this->history.may_have_run || is_at_upstream;
    this->refuse(core::error{.code = core::error_code::upstream_timeout,
                             .message = "no response arrived in time",
                             .retry_after = expected_place});
}

void exchange::refuse(const core::error& cause)
{
    if (this->is_finished) {
        return;
    }
    const std::shared_ptr<exchange> self = this->shared_from_this();
    core::error final_cause = cause;
    final_cause.run = this->history.may_have_run ? core::verdict::may_have_run : core::verdict::not_run;
    const bool is_server_side = core::http_status(cause.code) >= 500;
    if (is_server_side && this->history.may_have_run) {
        final_cause.code =
            cause.code == core::error_code::upstream_timeout ? cause.code : core::error_code::upstream_failed;
    }
    else if (cause.code == core::error_code::upstream_timeout) {
        final_cause.code = core::error_code::overloaded; // Nothing was sent, so the refusal is a promise.
    }
    const milliseconds advice =
        retry_after(std::max(cause.retry_after, milliseconds(10)),
                    std::max(this->time_left(), milliseconds(0)), this->resolved.selector);
    const response_head refusal = make_refusal_head(final_cause, advice);
    const bool was_started = this->has_begun_stream;
    this->finish(was_started ? "broken_off" : "refused", refusal.status, final_cause.message);
    if (was_started) {
        this->requester.abort();
        return;
    }
    this->requester.send_whole(refusal, make_refusal_body(final_cause));
}

void exchange::requester_left()
{
    if (this->is_finished) {
        return;
    }
    const std::shared_ptr<exchange> self = this->shared_from_this();
    this->history.may_have_run = this->history.may_have_run || this->connection != nullptr;
    this->finish("requester_left", 0, "the requester closed its connection");
}

void exchange::finish(std::string_view outcome, unsigned status, std::string_view cause)
{
    const core::steady_time now = clock::now();
    this->is_finished = true;
    this->deadline_timer.cancel();
    this->silence_timer.cancel();
    this->release_upstream(false);
    this->settle_budget();
    counters& counts = this->context.counts;
    --counts.requests_in_flight;
    ++counts.outcomes[std::string(outcome)];
    const auto whole = std::chrono::duration_cast<std::chrono::microseconds>(now - this->arrival);
    counts.whole_request.add(whole);
    if (this->first_output) {
        counts.first_event.add(
            std::chrono::duration_cast<std::chrono::microseconds>(*this->first_output - this->arrival));
    }
    const bool is_plain = outcome == "served" && this->history.sends <= 1;
    if (!this->resolved.service_name.empty()) {
        this->context.retries.earn(this->resolved.service_name);
    }
    if (is_plain && this->resolved.selector % logged_share != 0) {
        return;
    }
    core::log_event(
        core::log_level::info, "request_ended",
        {{"request", this->resolved.facts.attempt_id},
         {"route", this->resolved.matched == nullptr ? "" : this->resolved.matched->name},
         {"workspace", this->resolved.customer == nullptr ? "" : this->resolved.customer->name},
         {"outcome", outcome},
         {"status", status},
         {"cause", cause},
         {"upstream", this->current == nullptr ? "" : this->current->id},
         {"sends", this->history.sends},
         {"events", this->events.count()},
         {"took_ms", whole.count() / 1000},
         {"configuration", this->resolved.table == nullptr
                               ? 0
                               : static_cast<long long>(this->resolved.table->source().version)}});
}

void exchange::settle_budget()
{
    if (!this->reserved) {
        return;
    }
    // A workspace pays for what it received: nothing when no part of the response went out.
    const bool is_stream = this->resolved.matched->kind == route_kind::stream;
    const std::int64_t delivered = is_stream
                                       ? std::min(this->resolved.facts.maximum_output_tokens,
                                                  this->events.count() * this->resolved.tokens_per_event)
                                       : this->resolved.facts.maximum_output_tokens;
    const std::int64_t used = this->first_output ? this->resolved.facts.prompt_tokens + delivered : 0;
    this->context.budget.settle(*this->reserved, used);
    this->reserved.reset();
}

milliseconds exchange::time_left() const
{
    return std::chrono::duration_cast<milliseconds>(this->history.deadline - clock::now());
}

} // namespace samphireway::gateway
