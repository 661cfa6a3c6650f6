#pragma once

#include "engine/engine_batch.h"
#include "engine/engine_faults.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace samphireway::standin {

/** A request at the engine. Its destructor removes it from the batch and adds its counts. */
struct engine_job {
    explicit engine_job(engine_batch& batch_to_use) : batch(batch_to_use) {}
    ~engine_job();
    engine_job(const engine_job&) = delete;
    engine_job& operator=(const engine_job&) = delete;

    engine_batch& batch;
    std::string stream_id;
    std::string quoted_stream_id; ///< Stream id as a JSON string with quotes.
    int remote_port = 0;
    bool is_streaming = false;
    bool is_admitted = false;
    bool is_complete = false;
    bool is_faulty = false; ///< Whether the faults of `is_fault_in_scope` apply.
    std::atomic<bool> is_cancelled = false;
    std::uint64_t prompt_hash = 0;
    std::int64_t incarnation = 0; ///< Incarnation of the batch when the request was admitted.
    std::int64_t priority = 0;
    std::int64_t prompt_tokens = 0;
    std::int64_t cached_tokens = 0;
    std::int64_t output_limit = 0;
    std::int64_t resumed_from = 0;
    std::int64_t position = 0;
    std::int64_t held_tokens = 0;
    std::int64_t excess_tokens = 0;
    core::steady_time next_token;
};

/** Index of running requests by stream id, used to cancel them. @see engine_job */
class job_index {
public:
    /** Adds a request. Does not extend its lifetime. */
    void add(const std::shared_ptr<engine_job>& job);

    /** Cancels all running requests of a stream and returns their number. */
    int cancel(const std::string& stream_id);

private:
    static constexpr std::size_t minimum_sweep_size = 1024;

    std::mutex mutex;
    std::size_t sweep_size = minimum_sweep_size; ///< Size at which ended requests are removed.
    std::multimap<std::string, std::weak_ptr<engine_job>> jobs;
};

} // namespace samphireway::standin
