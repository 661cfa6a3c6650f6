#pragma once

#include "limits/limits.h"
#include "routing/routing.h"

#include <algorithm>
#include <deque>
#include <list>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace samphireway::testing {

/** Options of a run of a fake fleet. @see fake_fleet */
struct fleet_options {
    std::uint32_t seed = 1;
    double arrivals_per_second = 60.0;
    routing::routing_policy policy;
    std::size_t engines = 12;
    std::int64_t agreed_requests = 16;
    std::size_t cached_prefixes = 8; ///< Size of an engine's prefix cache, which evicts by LRU.
    std::int64_t prefixes = 60;      ///< Number of distinct prefixes that long prompts share.
};

/** Measurements of a run. */
struct fleet_result {
    double hit_rate = 0.0; ///< Prefix cache hit rate of requests with a long prompt.
    double p95_first_token_ms = 0.0;
    double goodput = 0.0; ///< Requests per second with the first token within the target of 1.6 s.
    std::int64_t maximum_in_flight = 0; ///< Maximum number of requests in flight at any engine.
};

/**
    Simulates one router and engines that prefill one prompt at a time and cache prefixes, in simulated
    time.

    Load reports arrive one second late. One in ten cache events is lost; the others arrive two seconds
    late.
*/
class fake_fleet {
public:
    explicit fake_fleet(fleet_options options_to_use)
        : options(std::move(options_to_use)), random(this->options.seed)
    {
        for (std::size_t index = 0; index < this->options.engines; ++index) {
            configuration::upstream upstream;
            upstream.id = "engine-" + std::to_string(index);
            upstream.agreed_requests = this->options.agreed_requests;
            this->engines.push_back(engine{.upstream = upstream, .cache = {}, .events = {}});
        }
    }

    fleet_result run(double seconds)
    {
        std::exponential_distribution<double> interarrival_time(this->options.arrivals_per_second);
        double next_arrival = interarrival_time(this->random);
        double next_poll = 1.0;
        while (this->now < seconds) {
            const double next_completion = this->running.empty() ? seconds : this->running.top().time;
            this->now = std::min({next_arrival, next_poll, next_completion, seconds});
            if (this->now == next_arrival) {
                this->arrive();
                next_arrival += interarrival_time(this->random);
            }
            else if (this->now == next_poll) {
                this->poll();
                next_poll += 1.0;
            }
            else if (!this->running.empty()) {
                this->complete_one();
            }
            this->serve();
        }
        return this->measure(seconds);
    }

private:
    struct engine {
        configuration::upstream upstream;
        std::list<std::uint64_t> cache;
        std::deque<std::pair<double, routing::cache_event>> events;
        double prefill_idle_at = 0.0;
        std::int64_t in_flight = 0;
        std::int64_t reported = 0; ///< Requests in flight at the previous poll.
        std::int64_t reported_own = 0;
        std::uint64_t sequence = 0;
    };

    struct request {
        limits::waiter waiting;
        double arrival_time = 0.0;
        std::uint64_t prefix = 0;
        bool is_long = false;
    };

    struct completion {
        double time = 0.0;
        std::size_t engine = 0;
        std::string workspace;

        bool operator>(const completion& other) const
        {
            return this->time > other.time;
        }
    };

    core::steady_time clock() const
    {
        return core::steady_time(std::chrono::microseconds(static_cast<std::int64_t>(this->now * 1e6)));
    }

    void arrive()
    {
        auto added = std::make_unique<request>();
        added->arrival_time = this->now;
        added->is_long = this->random() % 10 < 7;
        // Squaring makes low numbers more frequent, as in practice a few prefixes are in most requests.
        const double popularity = std::uniform_real_distribution<double>(0.0, 1.0)(this->random);
        const auto shared =
            static_cast<std::uint64_t>(popularity * popularity * static_cast<double>(this->options.prefixes));
        added->prefix = added->is_long ? shared + 1 : (this->random() | (1ULL << 40U));
        added->waiting.request = {.workspace = "w" + std::to_string(this->random() % 4),
                                  .deadline = this->clock() + std::chrono::milliseconds(1000)};
        for (const routing::upstream_choice& choice : this->rank(*added)) {
            added->waiting.upstreams.push_back(choice.upstream.id);
        }
        if (this->queue.add(added->waiting)) {
            this->waiting.push_back(std::move(added));
        }
        std::erase_if(this->waiting, [](const auto& entry) { return entry->waiting.is_evicted; });
    }

    void serve()
    {
        for (const std::unique_ptr<request>& entry : this->waiting) {
            if (entry->waiting.request.deadline < this->clock()) {
                this->queue.remove(entry->waiting);
                entry->waiting.is_evicted = true;
            }
        }
        for (const bool is_preferred_only : {true, false}) {
            this->queue.serve(this->in_use, [&](limits::waiter& next) {
                const auto found = std::find_if(this->waiting.begin(), this->waiting.end(),
                                                [&](const auto& entry) { return &entry->waiting == &next; });
                return this->dispatch(**found, is_preferred_only);
            });
        }
        std::erase_if(this->waiting, [](const auto& entry) {
            return entry->waiting.is_evicted || !entry->waiting.granted_upstream.empty();
        });
    }

    /** Ranks the engines for a request in the same way as a node. */
    std::vector<routing::upstream_choice> rank(const request& next) const
    {
        std::vector<routing::candidate> candidates;
        for (const engine& entry : this->engines) {
            const std::string& id = entry.upstream.id;
            candidates.push_back({.upstream = &entry.upstream,
                                  .in_flight = this->reports.estimate(id, entry.in_flight, this->clock()),
                                  .prefix_confidence = this->prefixes.confidence(id, next.prefix),
                                  .has_capacity = entry.in_flight < this->options.agreed_requests});
        }
        return routing::rank_candidates(candidates, {.prefix_hash = next.prefix}, this->options.policy);
    }

    bool dispatch(request& next, bool is_preferred_only)
    {
        const std::size_t choices =
            is_preferred_only ? limits::preferred_upstreams : next.waiting.upstreams.size();
        for (std::size_t index = 0; index < choices; ++index) {
            const std::string& id = next.waiting.upstreams[index];
            const auto target = std::find_if(this->engines.begin(), this->engines.end(),
                                             [&](const engine& entry) { return entry.upstream.id == id; });
            if (target->in_flight < this->options.agreed_requests) {
                this->start(next, *target);
                return true;
            }
        }
        return false;
    }

    void start(request& next, engine& target)
    {
        constexpr double long_prefill = 0.8;
        constexpr double short_prefill = 0.04;
        constexpr double decode = 2.0;
        next.waiting.granted_upstream = target.upstream.id;
        ++this->in_use[next.waiting.request.workspace];
        const bool is_hit = this->look_up_prefix(target, next.prefix);
        this->long_requests += next.is_long ? 1 : 0;
        this->hits += next.is_long && is_hit ? 1 : 0;
        const double prefill = next.is_long && !is_hit ? long_prefill : short_prefill;
        target.prefill_idle_at = std::max(target.prefill_idle_at, this->now) + prefill;
        this->first_tokens.push_back(target.prefill_idle_at - next.arrival_time);
        this->prefixes.record_request(target.upstream.id, next.prefix, this->clock());
        ++target.in_flight;
        this->maximum_in_flight = std::max(this->maximum_in_flight, target.in_flight);
        this->running.push({.time = target.prefill_idle_at + decode,
                            .engine = static_cast<std::size_t>(&target - this->engines.data()),
                            .workspace = next.waiting.request.workspace});
    }

    bool look_up_prefix(engine& target, std::uint64_t prefix)
    {
        const auto found = std::find(target.cache.begin(), target.cache.end(), prefix);
        if (found != target.cache.end()) {
            target.cache.splice(target.cache.begin(), target.cache, found);
            return true;
        }
        target.cache.push_front(prefix);
        this->add_event(target, true, prefix);
        if (target.cache.size() > this->options.cached_prefixes) {
            this->add_event(target, false, target.cache.back());
            target.cache.pop_back();
        }
        return false;
    }

    void add_event(engine& target, bool is_stored, std::uint64_t prefix)
    {
        ++target.sequence;
        if (target.sequence % 10 != 0) {
            target.events.emplace_back(
                this->now,
                routing::cache_event{.sequence = target.sequence, .is_stored = is_stored, .block = prefix});
        }
    }

    void poll()
    {
        for (engine& entry : this->engines) {
            this->reports.add(entry.upstream.id, entry.reported, entry.reported_own, this->clock());
            entry.reported = entry.in_flight;
            entry.reported_own = entry.in_flight;
            std::vector<routing::cache_event> visible_events;
            while (!entry.events.empty() && entry.events.front().first + 2.0 <= this->now) {
                visible_events.push_back(entry.events.front().second);
                entry.events.pop_front();
            }
            this->prefixes.apply(entry.upstream.id, visible_events, this->clock());
        }
    }

    void complete_one()
    {
        const completion completed = this->running.top();
        this->running.pop();
        --this->engines[completed.engine].in_flight;
        --this->in_use[completed.workspace];
    }

    fleet_result measure(double seconds)
    {
        constexpr double target = 1.6;
        std::sort(this->first_tokens.begin(), this->first_tokens.end());
        const auto good = std::upper_bound(this->first_tokens.begin(), this->first_tokens.end(), target);
        return fleet_result{.hit_rate = this->hits / std::max(1.0, this->long_requests),
                            .p95_first_token_ms =
                                1000.0 * this->first_tokens.at(this->first_tokens.size() * 95 / 100),
                            .goodput = static_cast<double>(good - this->first_tokens.begin()) / seconds,
                            .maximum_in_flight = this->maximum_in_flight};
    }

    const fleet_options options;
    std::mt19937_64 random;
    std::vector<engine> engines;
    routing::load_reports reports;
    routing::prefix_table prefixes;
    limits::admission_queue queue{512};
    std::list<std::unique_ptr<request>> waiting;
    std::map<std::string, limits::amount> in_use;
    std::priority_queue<completion, std::vector<completion>, std::greater<>> running;
    std::vector<double> first_tokens;
    double now = 0.0;
    double hits = 0.0;
    double long_requests = 0.0;
    std::int64_t maximum_in_flight = 0;
};

} // namespace samphireway::testing
