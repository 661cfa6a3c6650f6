#pragma once

#include "routing/policy/upstream_choice.h"

#include <cstdint>
#include <string>

namespace samphireway::routing {

/** Returns a policy that picks each candidate with the same probability. Thread-safe. */
routing_policy make_random_policy(std::uint64_t seed);

/** Returns a policy that picks the one of two random candidates with fewer requests. Thread-safe. */
routing_policy make_two_choices_policy(std::uint64_t seed);

/**
    Weights in the cost that the affinity policy minimizes, as fractions of an upstream's agreed
    requests.

    @see make_affinity_policy
*/
struct affinity_weights {
    /// For a cached prefix. It saves the prefill, which is worth queueing
    /// behind half of an engine's load.
    double prefix = 0.5;
    /// For the home of a prefix, chosen by hash. Nodes without information about a prefix thus send it
    /// to the same upstream without communication.
    double home = 0.2;
    /// For the own availability zone. Another zone adds only about a
    /// millisecond, so this just breaks ties.
    double zone = 0.02;
};

/**
    Returns the policy used in production, which picks the candidate with the lowest cost.

    The cost is the ratio of requests in flight to agreed requests, minus the weights of a cached
    prefix, of the prefix's home and of the own availability zone, as far as they apply.
*/
routing_policy make_affinity_policy(affinity_weights weights);

} // namespace samphireway::routing
