#include "moves/policy/ramp.h"

#include <algorithm>

namespace samphireway::moves {

namespace {

using std::chrono::milliseconds;

constexpr int reserve_divisor = 4; ///< The reserve is one quarter of the time.

milliseconds to_milliseconds(core::wall_time::duration span)
{
    return std::chrono::duration_cast<milliseconds>(span);
}

int remaining_weight(int step)
{
    int weight = 0;
    for (int index = step; index < holding_step; ++index) {
        weight += ramp_steps.at(static_cast<std::size_t>(index)).weight;
    }
    return weight;
}

} // namespace

milliseconds minimum_remaining_time(int step, const ramp_limits& limits)
{
    return std::max(0, holding_step - step) * milliseconds(limits.minimum_step_time) +
           milliseconds(limits.hold_time);
}

core::wall_time step_deadline(int step, core::wall_time begun, core::wall_time step_since,
                              core::wall_time deadline, const ramp_limits& limits)
{
    if (step >= holding_step) {
        return step_since + limits.hold_time;
    }
    const milliseconds reserve = to_milliseconds(deadline - begun) / reserve_divisor;
    const milliseconds available =
        to_milliseconds(deadline - step_since) - reserve - milliseconds(limits.hold_time);
    const milliseconds planned = available * ramp_steps.at(static_cast<std::size_t>(step)).weight /
                                 std::max(1, remaining_weight(step));
    return step_since + std::max(planned, milliseconds(limits.minimum_step_time));
}

} // namespace samphireway::moves
