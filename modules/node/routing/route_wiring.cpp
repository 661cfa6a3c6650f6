#include "node/routing/route_wiring.h"

#include <algorithm>

namespace samphireway::node {

namespace {

using std::chrono::milliseconds;

// Ten polls a second at about 500 bytes each stay within the 9 KB/s that a node may use for control
// traffic.
constexpr milliseconds delay_between_polls{100};
// Shortest interval between two polls of one engine. Load reports lag by about as much anyway.
constexpr milliseconds engine_poll_interval{1000};
constexpr milliseconds poll_timeout{500};
// Engines that got no request from this node for this long are no longer polled.
constexpr milliseconds poll_after_last_request{30000};

} // namespace

route_wiring::route_wiring(route_wiring_options options_to_use)
    : options(std::move(options_to_use)), poller([this] { this->poll_all(); })
{
}

route_wiring::~route_wiring()
{
    {
        const std::lock_guard lock(this->mutex);
        this->is_stopping = true;
    }
    this->wake.notify_all();
    this->poller.join();
}

std::vector<routing::upstream_choice> route_wiring::rank(const configuration::snapshot& configuration,
                                                         const routing::route_request& request)
{
    const core::steady_time now = this->options.time.steady();
    std::vector<routing::candidate> usable;
    std::vector<routing::candidate> ejected;
    std::vector<routing::candidate> on_trial;
    std::vector<routing::candidate> candidates = routing::list_candidates(configuration, request);
    // The filter chooses a version, so upstreams that cannot serve it must be removed before.
    std::erase_if(candidates, [this](const routing::candidate& entry) {
        return this->options.is_leaving(entry.upstream->id);
    });
    this->options.filter(candidates, request);
    for (routing::candidate& candidate : candidates) {
        const std::string& id = candidate.upstream->id;
        candidate.in_flight = this->reports.estimate(id, this->options.gate->in_flight(id), now);
        candidate.has_capacity = this->options.gate->can_admit(id, request.estimated_tokens);
        candidate.prefix_confidence = this->prefixes.confidence(id, request.prefix_hash);
        candidate.is_same_zone = candidate.upstream->availability_zone == this->options.availability_zone;
        const routing::health_state state =
            on_trial.empty() ? this->health.check(id, now) : routing::health_state::usable;
        std::vector<routing::candidate>& group = state == routing::health_state::trial ? on_trial
                                                 : this->health.is_ejected(id)         ? ejected
                                                                                       : usable;
        group.push_back(candidate);
    }
    if (usable.empty()) {
        // When every upstream is ejected, a request is tried on one of them rather than refused. The
        // retry budget bounds the additional load.
        usable = std::move(ejected);
    }
    std::vector<routing::upstream_choice> ranked =
        routing::rank_candidates(std::move(usable), request, this->options.policy);
    for (const routing::upstream_choice& trial :
         routing::rank_candidates(std::move(on_trial), request, this->options.policy)) {
        ranked.insert(ranked.begin(), trial);
    }
    return ranked;
}

void route_wiring::record_request(const routing::upstream_choice& target,
                                  const routing::route_request& request)
{
    const core::steady_time now = this->options.time.steady();
    this->prefixes.record_request(target.upstream.id, request.prefix_hash, now);
    const std::lock_guard lock(this->mutex);
    this->engines[target.upstream.id] =
        polled_engine{.endpoint = traffic::endpoint_of(target.upstream), .last_sent = now};
}

void route_wiring::record_result(const std::string& upstream, traffic::call_report report)
{
    if (report == traffic::call_report::succeeded) {
        this->health.record_success(upstream);
        return;
    }
    const bool was_ejected = this->health.is_ejected(upstream);
    this->health.record_failure(upstream, report == traffic::call_report::dead, this->options.time.steady());
    if (!was_ejected && this->health.is_ejected(upstream)) {
        core::log_event(
            core::log_level::warning, "upstream_ejected",
            {{"upstream", upstream}, {"dead", report == traffic::call_report::dead ? "true" : "false"}});
    }
}

bool route_wiring::is_ejected(const std::string& upstream) const
{
    return this->health.is_ejected(upstream);
}

void route_wiring::poll_all()
{
    std::deque<std::string> pending_polls;
    core::steady_time next_round_time;
    std::unique_lock lock(this->mutex);
    while (!this->is_stopping) {
        this->wake.wait_for(lock, delay_between_polls, [this] { return this->is_stopping; });
        const core::steady_time now = this->options.time.steady();
        if (pending_polls.empty() && now >= next_round_time) {
            next_round_time = now + engine_poll_interval;
            std::erase_if(this->engines, [now](const auto& entry) {
                return now - entry.second.last_sent > poll_after_last_request;
            });
            for (const auto& [id, engine] : this->engines) {
                pending_polls.push_back(id);
            }
        }
        if (pending_polls.empty() || this->is_stopping) {
            continue;
        }
        const std::string id = pending_polls.front();
        pending_polls.pop_front();
        const auto found = this->engines.find(id);
        if (found == this->engines.end()) {
            continue;
        }
        const traffic::endpoint endpoint = found->second.endpoint;
        lock.unlock();
        this->poll(id, endpoint);
        lock.lock();
    }
}

void route_wiring::poll(const std::string& upstream, const traffic::endpoint& endpoint)
{
    const core::steady_time poll_time = this->options.time.steady();
    const std::int64_t own_in_flight = this->options.gate->in_flight(upstream);
    const core::result<Json::Value> load = this->get(endpoint, "/load");
    if (load) {
        this->reports.add(upstream, core::integer_member(*load, "requests"), own_in_flight, poll_time);
    }
    const std::uint64_t after = this->prefixes.last_sequence(upstream);
    const core::result<Json::Value> events =
        this->get(endpoint, "/cache/events?after=" + std::to_string(after));
    if (events) {
        this->prefixes.apply(upstream, routing::cache_events_from_json(*events), this->options.time.steady());
    }
}

core::result<Json::Value> route_wiring::get(const traffic::endpoint& endpoint, const std::string& path)
{
    constexpr int status_ok = 200;
    std::unique_ptr<httplib::Client> client = this->options.connections->take(endpoint);
    std::string body;
    {
        const traffic::watched_call call(*this->options.watch,
                                         std::chrono::steady_clock::now() + poll_timeout,
                                         [&client] { client->stop(); });
        const httplib::Result result = client->Get(path);
        if (!result || result->status != status_ok) {
            return core::failure(core::error_code::upstream_failed,
                                 "engine did not answer with status 200: GET " + path);
        }
        body = result->body;
    }
    this->options.connections->give_back(endpoint, std::move(client));
    return core::parse_json(body);
}

} // namespace samphireway::node
