#pragma once

#include "core/core.h"

#include <array>
#include <chrono>

namespace samphireway::moves {

/** Shares of the new version in one step of the ramp. @see ramp_steps */
struct ramp_step {
    double cleared_share = 0;   ///< On routes where the new version served enough requests without a finding.
    double uncleared_share = 0; ///< On all other routes.
    int weight = 0;             ///< Planned time of the step, relative to the other steps.
};

/// Share on each route during the canary. Lies below the bound of 2%, with a margin for
/// the rounding of small counts.
inline constexpr double canary_share = 0.015;

/// Share in the last step, the hold at full load. The rest goes to the old version, which
/// is measured over the same time so that a problem that affects both versions is not taken
/// for a fault of the new one.
inline constexpr double full_share = 0.98;

/**
    Steps of a ramp. The canary takes most of the time, since single routes are cleared during it.
    Routes with too little traffic to be cleared follow last, on the evidence of all traffic.
*/
inline constexpr std::array<ramp_step, 6> ramp_steps{
    ramp_step{.cleared_share = canary_share, .uncleared_share = canary_share, .weight = 6},
    ramp_step{.cleared_share = 0.10, .uncleared_share = canary_share, .weight = 1},
    ramp_step{.cleared_share = 0.25, .uncleared_share = canary_share, .weight = 1},
    ramp_step{.cleared_share = 0.50, .uncleared_share = canary_share, .weight = 1},
    ramp_step{.cleared_share = full_share, .uncleared_share = 0.10, .weight = 1},
    ramp_step{.cleared_share = full_share, .uncleared_share = full_share, .weight = 0}};

/// Index of the last step, in which full load is held.
inline constexpr int holding_step = static_cast<int>(ramp_steps.size()) - 1;

/** Limits of the ramp. @see step_deadline */
struct ramp_limits {
    /// Minimum duration of a step; longer than the delays of evidence and of
    /// the distribution of a record.
    std::chrono::seconds minimum_step_time{20};
    std::chrono::seconds hold_time{60}; ///< Time at full load before the move is done.
    std::uint64_t step_requests = 200;  ///< Requests to the new version needed in each step.
    std::uint64_t clear_requests = 200; ///< Requests to the new version that clear a route.
    double error_rate = 0.005;          ///< Probability that a good version is ever taken back.
};

/** Returns the minimum time that a ramp takes from the start of a step, including the hold. */
std::chrono::milliseconds minimum_remaining_time(int step, const ramp_limits& limits);

/**
    Returns the planned end of a step, computed backwards from the move's deadline.

    A quarter of the time from `begun` to the deadline is a reserve for platform outages and periods
    without traffic. A step never lasts less than `minimum_step_time`.
*/
core::wall_time step_deadline(int step, core::wall_time begun, core::wall_time step_since,
                              core::wall_time deadline, const ramp_limits& limits);

} // namespace samphireway::moves
