#pragma once

#include <functional>
#include <string_view>

namespace samphireway::core {

/**
    Runs a task at the top level of a thread. An exception that the task did not expect is logged with the
    thread's name and ends only the task. Returns whether the task ran to its end.
*/
bool run_guarded(std::string_view thread, const std::function<void()>& task) noexcept;

} // namespace samphireway::core
