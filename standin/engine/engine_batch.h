#pragma once

#include "core/core.h"

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <json/json.h>
#include <map>
#include <mutex>

namespace samphireway::standin {

/** Work counted by an engine stand-in itself, with which billed usage is compared. */
struct engine_counters {
    std::int64_t running = 0;
    std::int64_t peak_running = 0;
    std::int64_t held_tokens = 0;
    std::int64_t peak_held_tokens = 0;
    std::int64_t waiting = 0;
    std::int64_t requests = 0;
    std::int64_t completed = 0;
    std::int64_t refused = 0;
    std::int64_t failed = 0;
    std::int64_t out_of_memory = 0;
    std::int64_t prompt_tokens = 0;
    std::int64_t cached_tokens = 0;
    std::int64_t output_tokens = 0;
    std::int64_t excess_tokens = 0; ///< Tokens that `excess_usage_tokens` adds to the reported usage.
};

/** Limits of an engine's batch. @see engine_batch */
struct batch_limits {
    std::int64_t maximum_requests = 64;
    std::int64_t maximum_waiting = 0;     ///< Requests that may wait for a full batch; more are refused.
    std::int64_t memory_tokens = 1 << 20; ///< Largest sum of tokens held by running requests.
    /** Time for which requests are refused after the engine runs out of memory. */
    std::chrono::milliseconds restart_time{2000};
};

/** Result of an attempt to join a batch. @see engine_batch::join */
enum class admission { admitted, refused, out_of_memory };

/**
    Models the continuous batch of an engine, its memory and its counters.

    Requests beyond the batch size wait, higher priority first. A request that exceeds the memory makes
    the engine fail: all running and waiting requests are lost, and new ones are refused for the restart
    time.

    @see engine_standin
*/
class engine_batch {
public:
    explicit engine_batch(batch_limits limits);

    /** Adds a request that holds `tokens`. Waits while the batch is full, if the limits allow it. */
    admission join(std::int64_t priority, std::int64_t tokens);

    /** Removes a request that holds `tokens` from the batch and adds its counts. */
    void leave(std::int64_t tokens, const engine_counters& used);

    /** Adds counts of a request that is not in the batch. */
    void count(const engine_counters& added);

    /** Returns how often the engine ran out of memory; each time, all running requests are lost. */
    std::int64_t incarnation() const;

    /** Returns the current counters. */
    engine_counters counters() const;

    /** Returns the running requests and held tokens as they were `lag` before `now`. */
    Json::Value load_report(std::chrono::milliseconds lag, core::steady_time now) const;

private:
    struct load_sample {
        core::steady_time time;
        std::int64_t running = 0;
        std::int64_t held_tokens = 0;
    };

    bool is_restarting(core::steady_time now) const;
    void record_load(core::steady_time now);
    void fail_out_of_memory(core::steady_time now);

    const batch_limits limits;
    mutable std::mutex mutex;
    std::condition_variable state_changed;
    /** Tickets of waiting requests by priority, highest first, and then in order of arrival. */
    std::multimap<std::int64_t, std::uint64_t, std::greater<>> queue;
    std::uint64_t next_ticket = 0;
    engine_counters totals;
    core::steady_time restart_end;
    std::deque<load_sample> load_samples;
};

/** Adds all counters except the peaks to `target`. */
void add_counts(engine_counters& target, const engine_counters& added);

/** Returns the counters as JSON. */
Json::Value to_json(const engine_counters& counters);

} // namespace samphireway::standin
