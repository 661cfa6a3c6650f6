#include "core/threads/guarded_run.h"

#include "core/log/log.h"

#include <exception>

namespace samphireway::core {

namespace {

void report_exception(std::string_view thread, std::string_view reason) noexcept
{
    try {
        log_event(log_level::error, "unexpected_error", {{"thread", thread}, {"reason", reason}});
    }
    catch (...) {
        return; // The log itself failed, so the error cannot be reported.
    }
}

} // namespace

bool run_guarded(std::string_view thread, const std::function<void()>& task) noexcept
{
    try {
        task();
        return true;
    }
    catch (const std::exception& error) {
        report_exception(thread, error.what());
    }
    catch (...) {
        report_exception(thread, "an exception of an unknown type");
    }
    return false;
}

} // namespace samphireway::core
