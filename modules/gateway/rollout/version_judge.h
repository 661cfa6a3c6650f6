#pragma once

#include "gateway/rollout/version_evidence.h"
#include "moves/evidence/sequential_test.h"

#include <cstddef>
#include <optional>
#include <string>

namespace samphireway::gateway {

/** A route and a signal in which the target version is worse than the others. @see find_fault */
struct version_fault {
    std::string route;  ///< `version_evidence::all_routes` if it shows over all routes together.
    std::string signal; ///< `errors`, `first_output` or `gap`.
    moves::proportion stable;
    moves::proportion target;
};

/** Failures among the requests of both versions. @see count_outcomes */
struct version_outcomes {
    moves::proportion stable;
    moves::proportion target;
    std::size_t target_upstreams = 0; ///< Upstreams of the target version that have served requests.
};

/** Returns the failures over all routes. */
version_outcomes count_outcomes(const version_evidence& evidence);

/** Returns failures and the ninth decile of the first output on the busiest routes, as text for logs. */
std::string describe_routes(const version_evidence& evidence);

/** Returns a fault as text for logs. */
std::string to_string(const version_fault& fault);

/**
    Returns a fault of the target version, or nothing.

    The versions are compared over the same requests, route by route, by failures and by latencies. A latency
   is worse if a larger fraction of the target's exceeds a limit than of the others' exceeds half of it: a
   version whose upstreams still have cold caches is up to twice as slow without being bad. A fault must also
   show without any single upstream, if the target version has several. `error_rate` bounds the probability
   with which one comparison finds a fault that is not there, however often it is repeated.

    @see moves::is_worse
*/
std::optional<version_fault> find_fault(const version_evidence& evidence, double error_rate);

} // namespace samphireway::gateway
