#pragma once

#include "core/core.h"
#include "gateway/model/configuration.h"

#include <chrono>

namespace samphireway::gateway {

/** What is known of a request when an attempt has ended without a response for the requester. */
struct attempt_history {
    int sends = 0;              ///< Attempts that reached an upstream.
    int failed_connects = 0;    ///< Attempts that sent nothing.
    bool may_have_run = false;  ///< Some attempt may have run.
    bool has_started = false;   ///< Part of a stream went to the requester.
    core::steady_time deadline; ///< Of the final response.
};

/** Whether a request may go to another upstream. @see may_try_again */
enum class next_attempt {
    allowed,
    needs_budget, ///< Allowed if the fleet's retry budget covers it.
    forbidden
};

/** Returns whether a route's requests may run more than once. */
bool is_idempotent(const route& target);

/**
    Decides whether a request may go to another upstream.

    A request that may have run goes on only where its route is idempotent, and every further send draws on
   the retry budget. An attempt that sent nothing costs no budget. A route's attempt limit always holds.
*/
next_attempt may_try_again(const route& target, const attempt_history& history, core::steady_time now);

/** Returns how long an idempotent request waits for a response, or a stream for its next event, before it
 * goes to another upstream. */
std::chrono::milliseconds silence_limit(const route& target, bool has_started);

/** Returns the advice to a refused requester: within a third of its time left, spread by the request's hash
 * so that those refused together do not return together. */
std::chrono::milliseconds retry_after(std::chrono::milliseconds expected, std::chrono::milliseconds time_left,
                                      std::uint64_t selector);

} // namespace samphireway::gateway
