#pragma once

#include "gateway/rollout/version_evidence.h"
#include "moves/evidence/fault_model.h"
#include "moves/evidence/sequential_test.h"

#include <cstddef>
#include <string>
#include <vector>

namespace samphireway::gateway {

/** The fault that explains the outcomes of a target version best. @see version_assessment */
struct version_fault {
    std::string route; ///< `version_evidence::all_routes` if it shows on all routes together.
    moves::fault_model model;
    moves::proportion stable; ///< Failures of the other versions on that route.
    moves::proportion target; ///< Failures of the target version on that route.
};

/** Returns a fault as text for logs. */
std::string to_string(const version_fault& fault);

/** What the outcomes say about the target version. @see assess_version */
struct version_assessment {
    /** Natural logarithm of the factor by which the outcomes are more likely with a fault of the target
     * version than without one. */
    double log_evidence = 0;
    version_fault likeliest; ///< Without a meaning if `log_evidence` is not positive.
};

/**
    Weighs the outcomes of a target version against those of the others.

    The versions are compared route by route, since routes differ in their latencies and rates of failures,
    and the evidence of all routes counts together, as does that of each route alone. Each recent period is
    weighed beside the whole time, so that a fault that begins late is not hidden by the outcomes before it.
    A single faulty upstream of the target version is an alternative explanation: only what speaks for a fault
    of the version against that counts.

    @param whole    outcomes since the roll-out began
    @param recent   outcomes of recent periods
    @see moves::outcome_reference
*/
version_assessment assess_version(const version_evidence& whole, const std::vector<version_evidence>& recent);

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

} // namespace samphireway::gateway
