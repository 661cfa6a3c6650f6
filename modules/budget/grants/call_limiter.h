#pragma once

#include "core/core.h"

#include <algorithm>

namespace samphireway::budget {

/**
    Limits of a node's platform calls for budgets. The defaults suit a deployment of two ledgers.

    @see call_limiter, call_limits_for
*/
struct call_limits {
    double calls_per_second = 2.4;   ///< Keeps 8 nodes below 20 calls/s at any load.
    double burst = 150;              ///< Calls; the last seconds of a plan need many at once.
    double reserved_for_urgent = 20; ///< Calls of the burst that only urgent updates may use.
};

/** Returns the limits multiplied by a factor. */
inline call_limits scale(call_limits limits, double factor)
{
    limits.calls_per_second *= factor;
    limits.burst *= factor;
    limits.reserved_for_urgent *= factor;
    return limits;
}

/**
    Returns the limits for a deployment of a number of ledgers.

    One write serves all plans of a ledger, so a node needs calls in proportion to the ledgers whose
    plans it serves. With a fixed limit, requests of 1,000 plans in 64 ledgers were refused when all
    plans came into use together.
*/
inline call_limits call_limits_for(std::uint32_t ledgers)
{
    constexpr double ledgers_of_default_limits = 2;
    return scale({}, std::max(1.0, static_cast<double>(ledgers) / ledgers_of_default_limits));
}

/**
    Token bucket that bounds a node's platform calls.

    Calls are counted after they were made, since a conflict costs a further call, so the number of
    calls left may fall below zero.
*/
class call_limiter {
public:
    explicit call_limiter(const call_limits& options_to_use)
        : options(options_to_use), calls_left(options_to_use.burst)
    {
    }

    /** Returns whether the limits allow a call at the time of the last `refill`. */
    bool allows(bool is_urgent) const
    {
        return this->calls_left >= (is_urgent ? 1 : 1 + this->options.reserved_for_urgent);
    }

    /** Adds the calls that the time since the last refill allows, up to the burst. */
    void refill(core::steady_time now)
    {
        const double elapsed = std::chrono::duration<double>(now - this->refilled_at).count();
        if (this->refilled_at != core::steady_time{} && elapsed > 0) {
            this->calls_left =
                std::min(this->options.burst, this->calls_left + elapsed * this->options.calls_per_second);
        }
        this->refilled_at = now;
    }

    /** Counts calls that were made. */
    void count(std::uint64_t calls)
    {
        this->calls_left -= static_cast<double>(calls);
    }

private:
    const call_limits options;
    double calls_left;
    core::steady_time refilled_at;
};

} // namespace samphireway::budget
