#pragma once

#include <chrono>
#include <cstdint>
#include <functional>

namespace samphireway::core {

using wall_time = std::chrono::system_clock::time_point;
using steady_time = std::chrono::steady_clock::time_point;

/**
    Supplies the time to code whose decisions depend on it.

    Tests replace both hooks. Use `steady` for deadlines within a process. Use `now` only for times that
    are stored or sent, since the wall clocks of VMs differ and can jump.
*/
struct clock {
    std::function<wall_time()> now = [] {
        return std::chrono::system_clock::now();
    };
    std::function<steady_time()> steady = [] {
        return std::chrono::steady_clock::now();
    };
};

/** Converts a wall time to whole milliseconds since the Unix epoch, as stored in objects. */
inline std::int64_t to_unix_ms(wall_time time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

/** Converts milliseconds since the Unix epoch to a wall time. @see to_unix_ms */
inline wall_time from_unix_ms(std::int64_t milliseconds)
{
    return wall_time(std::chrono::milliseconds(milliseconds));
}

} // namespace samphireway::core
