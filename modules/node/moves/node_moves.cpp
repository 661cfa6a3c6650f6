#include "node/moves/node_moves.h"

#include <random>

namespace samphireway::node {

namespace {

// Gives ten evaluations within the 2 s in which traffic to a bad version must have stopped.
constexpr std::chrono::milliseconds tick_interval{200};

/** Returns whether a failure is evidence on the version that served the attempt. */
bool is_evidence_on_version(const core::error& failure)
{
    switch (failure.code) {
    case core::error_code::upstream_failed:
    case core::error_code::upstream_timeout:
    case core::error_code::overloaded:
    case core::error_code::invalid_argument:
        // Refusals count too: both versions get the same mix of requests, so a refusal that is the
        // caller's fault raises both error rates alike.
        return true;
    default:
        return false;
    }
}

moves::sample make_sample(const traffic::request_outcome& outcome, const std::string& version)
{
    return moves::sample{
        .workspace = outcome.workspace, .plan = outcome.plan, .model = outcome.model, .version = version};
}

} // namespace

std::vector<moves::sample> samples_from_outcome(const traffic::request_outcome& outcome)
{
    std::vector<moves::sample> samples;
    for (const traffic::failed_attempt& attempt : outcome.failed_attempts) {
        if (is_evidence_on_version(attempt.failure)) {
            samples.push_back(make_sample(outcome, attempt.version));
            samples.back().is_error = true;
        }
    }
    if (outcome.version.empty() || (outcome.failure && !is_evidence_on_version(*outcome.failure))) {
        return samples;
    }
    moves::sample last = make_sample(outcome, outcome.version);
    last.is_error = outcome.failure.has_value();
    last.is_empty = !outcome.failure && outcome.output_tokens == 0;
    // Latency counts only for a request without failed attempts, whose time would be added to it, and
    // without pauses of the stream for a slow reader.
    if (outcome.failed_attempts.empty() && !outcome.failure && !outcome.has_waited_for_reader) {
        last.first_token = outcome.first_token;
        if (outcome.output_tokens > 1 && outcome.total > outcome.first_token) {
            last.mean_gap = (outcome.total - outcome.first_token) / (outcome.output_tokens - 1);
        }
    }
    samples.push_back(std::move(last));
    return samples;
}

node_moves::node_moves(moves::move_controller_options options, std::function<double()> random_to_use)
    : moves(std::move(options)), random(std::move(random_to_use))
{
}

void node_moves::start(core::event_loop& control)
{
    control.post([this, &control] { this->schedule(control); });
}

void node_moves::schedule(core::event_loop& control)
{
    this->moves.tick();
    control.post_at(std::chrono::steady_clock::now() + tick_interval,
                    [this, &control] { this->schedule(control); });
}

void node_moves::choose_version(std::vector<routing::candidate>& candidates,
                                const routing::route_request& request)
{
    const moves::version_request wanted{.workspace = request.workspace,
                                        .plan = request.plan,
                                        .model = request.model,
                                        .is_retry = !request.excluded.empty()};
    routing::keep_preferred_version(candidates, this->moves.choose_versions(wanted, this->random()));
}

void node_moves::observe(const traffic::request_outcome& outcome)
{
    for (moves::sample& observed : samples_from_outcome(outcome)) {
        this->moves.observe(std::move(observed));
    }
}

Json::Value node_moves::report() const
{
    Json::Value json(Json::objectValue);
    for (const moves::move_report& report : *this->moves.report()) {
        Json::Value& written = json[report.entry.id] = configuration::to_json(report.entry);
        written["state"] = std::string(moves::to_string(report.current.state));
        written["reason"] = report.current.reason;
        written["share"] = report.current.shares.cleared;
        written["share_of_uncleared_routes"] = report.current.shares.uncleared;
        written["requests_new"] = static_cast<Json::UInt64>(report.new_requests);
        written["requests_old"] = static_cast<Json::UInt64>(report.old_requests);
        written["record"] = moves::to_json(report.record);
    }
    return json;
}

void node_moves::receive_notice(const Json::Value& notice)
{
    this->moves.receive_notice(notice);
}

void node_moves::receive_evidence(const Json::Value& evidence)
{
    this->moves.receive_evidence(evidence);
}

double thread_random()
{
    thread_local std::mt19937_64 generator{std::random_device{}()};
    return std::uniform_real_distribution<double>(0, 1)(generator);
}

} // namespace samphireway::node
