#pragma once

#include "core/core.h"

#include <atomic>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace samphireway::bench {

/** Processor time and memory of a process. @see read_process */
struct process_reading {
    std::chrono::microseconds processor_time{0};
    std::int64_t resident_bytes = 0;
};

/** Returns the usage of a process. Fails with `not_found` when the process isn't running. */
core::result<process_reading> read_process(pid_t process);

/** Processor time used and peak memory while a sampler ran, each summed over its processes. */
struct usage_summary {
    std::chrono::microseconds processor_time{0};
    std::int64_t resident_bytes_before = 0;
    std::int64_t resident_bytes_peak = 0;
};

/** Samples the usage of processes on a background thread from construction until `stop`. */
class usage_sampler {
public:
    explicit usage_sampler(std::vector<pid_t> processes);
    ~usage_sampler();
    usage_sampler(const usage_sampler&) = delete;
    usage_sampler& operator=(const usage_sampler&) = delete;

    /** Stops sampling and returns the usage since construction. */
    usage_summary stop();

private:
    process_reading read_all() const;

    const std::vector<pid_t> processes;
    process_reading first;
    std::atomic<std::int64_t> peak = 0;
    std::atomic<bool> is_stopping = false;
    std::thread thread;
};

} // namespace samphireway::bench
