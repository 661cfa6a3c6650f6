#include "core/log/buffered_log.h"

#include <algorithm>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/make_shared.hpp>
#include <fcntl.h>
#include <mutex>
#include <string>
#include <unistd.h>
#include <utility>

namespace samphireway::core {

namespace {

namespace sinks = boost::log::sinks;
using clock = std::chrono::steady_clock;

/** Buffers formatted lines until they are written. A token bucket limits the rate of lines. */
class line_buffer {
public:
    void configure(const buffered_log_options& options_to_use)
    {
        const std::lock_guard lock(this->mutex);
        this->options = options_to_use;
        this->allowance = options_to_use.burst_lines;
        this->refilled_at = clock::now();
    }

    void add(const std::string& line)
    {
        const std::lock_guard lock(this->mutex);
        const clock::time_point now = clock::now();
        const double seconds = std::chrono::duration<double>(now - this->refilled_at).count();
        this->allowance =
            std::min(this->options.burst_lines, this->allowance + seconds * this->options.lines_per_second);
        this->refilled_at = now;
        if (this->allowance < 1 || this->bytes.size() + line.size() > this->options.maximum_bytes) {
            ++this->dropped;
            return;
        }
        this->allowance -= 1;
        this->bytes += line;
        this->bytes += '\n';
    }

    std::string take_lines()
    {
        const std::lock_guard lock(this->mutex);
        if (this->dropped != this->reported_drops) {
            this->bytes +=
                "level=warning event=log_lines_dropped total=" + std::to_string(this->dropped) + '\n';
            this->reported_drops = this->dropped;
        }
        return std::exchange(this->bytes, {});
    }

    void put_back(std::string_view unwritten)
    {
        const std::lock_guard lock(this->mutex);
        this->bytes.insert(0, unwritten);
    }

    std::uint64_t dropped_count()
    {
        const std::lock_guard lock(this->mutex);
        return this->dropped;
    }

private:
    std::mutex mutex;
    buffered_log_options options;
    std::string bytes;
    double allowance = 0;
    clock::time_point refilled_at;
    std::uint64_t dropped = 0;
    std::uint64_t reported_drops = 0;
};

line_buffer& buffer()
{
    static line_buffer instance;
    return instance;
}

/** Passes formatted records to the line buffer. */
class buffer_backend : public sinks::basic_formatted_sink_backend<char, sinks::concurrent_feeding> {
public:
    static void consume(const boost::log::record_view& /*record*/, const std::string& line)
    {
        const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch());
        buffer().add("time_ms=" + std::to_string(now.count()) + ' ' + line);
    }
};

} // namespace

void initialize_buffered_log(const buffered_log_options& options)
{
    namespace expressions = boost::log::expressions;
    buffer().configure(options);
    const int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0) {
        ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }
    auto sink = boost::make_shared<sinks::synchronous_sink<buffer_backend>>();
    sink->set_formatter(expressions::stream << expressions::smessage);
    boost::log::core::get()->add_sink(sink);
    set_log_level(options.minimum);
}

void flush_buffered_log()
{
    const std::string bytes = buffer().take_lines();
    std::string_view unwritten = bytes;
    while (!unwritten.empty()) {
        const ssize_t written = ::write(STDOUT_FILENO, unwritten.data(), unwritten.size());
        if (written <= 0) {
            buffer().put_back(unwritten);
            return;
        }
        unwritten.remove_prefix(static_cast<std::size_t>(written));
    }
}

std::uint64_t dropped_log_lines()
{
    return buffer().dropped_count();
}

} // namespace samphireway::core
