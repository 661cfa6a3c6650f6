#pragma once

#include "core/core.h"

#include <chrono>

namespace samphireway::gateway {

/** Limits of the traffic that a version under judgement gets. @see share_at */
struct rollout_limits {
    /** Share of a service's requests that a bad version may get over the whole roll-out. */
    double exposure_share = 0.1;
    /** Requests that it may get beyond that share. */
    double exposure_slack = 0;
};

/**
    When the shares of a roll-out change, planned backwards from its time limit.

    The new version gets a canary share for most of the time, then a quarter, then everything. It takes all
    traffic only shortly before the end, since a version that turns bad late must not have served more than
    the exposure limits by then; the steps before show whether it bears load. All spans are shorter when the
    whole time is short.

    @see canary_share
*/
struct rollout_schedule {
    std::chrono::milliseconds ramp_at{0};     ///< Age of the order at which the share becomes a quarter.
    std::chrono::milliseconds shift_at{0};    ///< Age at which the new version gets everything.
    std::chrono::milliseconds complete_at{0}; ///< Earliest age at which the roll-out is completed.
    std::chrono::milliseconds complete_by{0}; ///< Age at which it is completed with requests in flight.
    std::chrono::milliseconds end{0};         ///< Age at which it must have ended.
};

/** Returns the schedule of a roll-out that must end within a time. */
rollout_schedule make_schedule(std::chrono::milliseconds duration);

/**
    Returns the share of the new version during its canary phase.

    The requests that the limits allow over the whole time, less those of the later steps, so that a fault can
    show at any time, until the end, without more requests than allowed.

    @param requests_per_second  rate to which the limits apply
*/
double canary_share(const rollout_schedule& schedule, const rollout_limits& limits,
                    double requests_per_second);

/** Returns the share of the new version at an age of the order. */
double share_at(const rollout_schedule& schedule, double canary, std::chrono::milliseconds age);

} // namespace samphireway::gateway
