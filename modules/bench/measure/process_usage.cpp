#include "bench/measure/process_usage.h"

#include <fstream>
#include <sstream>
#include <unistd.h>

namespace samphireway::bench {

core::result<process_reading> read_process(pid_t process)
{
    const std::string directory = "/proc/" + std::to_string(process);
    std::ifstream stat(directory + "/stat");
    std::string line;
    if (!std::getline(stat, line)) {
        return core::failure(core::error_code::not_found, "no process " + std::to_string(process));
    }
    // The command name in parentheses may contain spaces, so fields are counted from its closing parenthesis.
    std::istringstream fields(line.substr(line.rfind(')') + 2));
    constexpr int fields_before_times = 11;
    std::string skipped;
    for (int index = 0; index < fields_before_times; ++index) {
        fields >> skipped;
    }
    std::int64_t user_ticks = 0;
    std::int64_t system_ticks = 0;
    fields >> user_ticks >> system_ticks;
    std::ifstream memory(directory + "/statm");
    std::int64_t size_pages = 0;
    std::int64_t resident_pages = 0;
    memory >> size_pages >> resident_pages;
    constexpr std::int64_t microseconds_per_second = 1000000;
    const std::int64_t ticks = user_ticks + system_ticks;
    return process_reading{
        .processor_time = std::chrono::microseconds(ticks * microseconds_per_second / sysconf(_SC_CLK_TCK)),
        .resident_bytes = resident_pages * sysconf(_SC_PAGESIZE)};
}

usage_sampler::usage_sampler(std::vector<pid_t> watched)
    : processes(std::move(watched)), first(this->read_all()), peak(this->first.resident_bytes)
{
    this->thread = std::thread([this] {
        constexpr std::chrono::milliseconds interval{100};
        while (!this->is_stopping) {
            this->peak = std::max(this->peak.load(), this->read_all().resident_bytes);
            std::this_thread::sleep_for(interval);
        }
    });
}

usage_sampler::~usage_sampler()
{
    this->stop();
}

process_reading usage_sampler::read_all() const
{
    process_reading sum;
    for (const pid_t process : this->processes) {
        const core::result<process_reading> reading = read_process(process);
        if (reading) {
            sum.processor_time += reading->processor_time;
            sum.resident_bytes += reading->resident_bytes;
        }
    }
    return sum;
}

usage_summary usage_sampler::stop()
{
    this->is_stopping = true;
    if (this->thread.joinable()) {
        this->thread.join();
    }
    return usage_summary{.processor_time = this->read_all().processor_time - this->first.processor_time,
                         .resident_bytes_before = this->first.resident_bytes,
                         .resident_bytes_peak = this->peak};
}

} // namespace samphireway::bench
