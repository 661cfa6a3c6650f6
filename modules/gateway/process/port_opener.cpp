#include "gateway/process/port_opener.h"

#include <utility>

namespace samphireway::gateway {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds retry_delay{50};
constexpr milliseconds report_interval{1000};

} // namespace

port_opener::port_opener(boost::asio::io_context& context, port_opener_options options_to_use)
    : options(std::move(options_to_use)), timer(context)
{
}

void port_opener::open()
{
    const core::result<void> opened = this->try_ports();
    if (opened) {
        this->options.on_open();
        return;
    }
    const core::error_code code = opened.error().code;
    if (code != core::error_code::conflict && code != core::error_code::overloaded) {
        this->options.on_failure(opened.error());
        return;
    }
    this->report(opened.error());
    this->timer.expires_after(retry_delay);
    this->timer.async_wait([this](boost::system::error_code failure) {
        if (!failure) {
            this->open();
        }
    });
}

core::result<void> port_opener::try_ports() const
{
    for (const auto& start : this->options.ports) {
        core::result<void> opened = start();
        if (!opened) {
            return opened;
        }
    }
    return {};
}

void port_opener::report(const core::error& cause)
{
    const core::steady_time now = std::chrono::steady_clock::now();
    if (now < this->next_report) {
        return;
    }
    this->next_report = now + report_interval;
    const bool is_used_up = cause.code == core::error_code::overloaded;
    core::log_event(core::log_level::warning, is_used_up ? "descriptors_used_up" : "port_taken",
                    {{"reason", cause.message}});
    core::flush_buffered_log();
}

} // namespace samphireway::gateway
