#pragma once

#include "core/core.h"

#include <algorithm>

namespace samphireway::budget {

/** Limits of a node's platform calls for budgets, for a deployment of two ledgers. @see call_budget,
 * call_limits_for */
struct call_budget_options {
    double calls_per_second = 2.4; ///< 8 nodes stay below 20 calls/s, whatever the load.
    double burst = 150;            ///< The last seconds of a plan need many calls within a short time.
    double kept_for_waiting = 20;  ///< Part of the burst that only waiting requests may use.
};

/** Returns limits that are higher by a factor. */
inline call_budget_options scale(call_budget_options limits, double factor)
{
    limits.calls_per_second *= factor;
    limits.burst *= factor;
    limits.kept_for_waiting *= factor;
    return limits;
}

/**
    Returns the limits for a deployment of a number of ledgers.

    One write serves all plans of a ledger, so a node that uses plans of many ledgers needs calls in
   proportion. With a fixed limit, 1,000 plans in 64 ledgers were refused when they came into use together.
*/
inline call_budget_options call_limits_for(std::uint32_t ledgers)
{
    constexpr double ledgers_of_defaults = 2;
    return scale({}, std::max(1.0, static_cast<double>(ledgers) / ledgers_of_defaults));
}

/**
    Token bucket that bounds a node's platform calls.

    Calls are counted after they were made, since a conflict costs a further call; the count may go below
   zero.
*/
class call_budget {
public:
    explicit call_budget(const call_budget_options& given) : options(given), left(given.burst) {}

    /** Returns whether a call may be made, as of the last `refill`. */
    bool allows(bool is_urgent) const
    {
        return this->left >= (is_urgent ? 1 : 1 + this->options.kept_for_waiting);
    }

    /** Adds what the time since the last refill allows. */
    void refill(core::steady_time now)
    {
        const double elapsed = std::chrono::duration<double>(now - this->counted_at).count();
        if (this->counted_at != core::steady_time{} && elapsed > 0) {
            this->left = std::min(this->options.burst, this->left + elapsed * this->options.calls_per_second);
        }
        this->counted_at = now;
    }

    /** Counts calls that were made. */
    void count(std::uint64_t calls)
    {
        this->left -= static_cast<double>(calls);
    }

private:
    const call_budget_options options;
    double left;
    core::steady_time counted_at;
};

} // namespace samphireway::budget
