#pragma once

#include "core/core.h"
#include "gateway/model/configuration.h"

#include <chrono>

namespace samphireway::gateway {

/** What earlier attempts of a request have done, from which a retry is decided. @see decide_retry */
struct attempt_history {
    int sends = 0;                 ///< Attempts whose request may have reached an upstream.
    int failed_connects = 0;       ///< Attempts that failed to connect and so sent nothing.
    bool may_have_run = false;     ///< Whether an upstream may have run the request.
    bool has_begun_stream = false; ///< Whether events of a stream were sent to the requester.
    core::steady_time deadline;    ///< Latest time for the final response to the requester.
};

/** Whether a request may be sent to another upstream. @see decide_retry */
enum class retry_decision {
    allowed,
    needs_budget, ///< Allowed if the service's retry budget covers it.
    forbidden
};

/** Returns whether requests of a route may run more than once. */
bool is_idempotent(const route& target);

/**
    Decides whether a request may be sent to another upstream.

    A request that may have run is retried only if its route is idempotent. A retry draws on the retry
    budget unless no attempt has sent anything so far. The attempt limit of the route, the limit of
    failed connects and the deadline are never exceeded.
*/
retry_decision decide_retry(const route& target, const attempt_history& history, core::steady_time now);

/** Returns how long an idempotent request waits for a response, or a stream for its next bytes, before it is
 * sent to another upstream. */
std::chrono::milliseconds inactivity_timeout(const route& target, bool has_begun_stream);

/** Returns the time without a complete event after which a stream is ended. Callers leave a stream after the
 * same time, so a slow but sound one is not cut. */
std::chrono::milliseconds stall_timeout(const route& target);

/**
    Returns the time for the `Retry-After` header of a refusal.

    The result lies between `expected` and twice `expected`, spread by `selector`, a hash of the
    request, so that requesters refused together do not return together. It is at most a third of the
    requester's time left, but at least 10 ms.
*/
std::chrono::milliseconds retry_after(std::chrono::milliseconds expected, std::chrono::milliseconds time_left,
                                      std::uint64_t selector);

} // namespace samphireway::gateway
