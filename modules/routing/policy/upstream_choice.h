#pragma once

#include "configuration/configuration.h"

#include <cstdint>
#include <functional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace samphireway::routing {

/** Properties of a request that determine its routing. @see rank_candidates */
struct route_request {
    std::string workspace;
    std::string plan;
    std::string model;
    std::int64_t estimated_tokens = 0; ///< Upper bound of the tokens in the engine's memory.
    std::uint64_t prefix_hash = 0;     ///< Hash of the leading part of the prompt.
    int priority = 0;                  ///< Requests with a higher priority go first.
    std::set<std::string> excluded;    ///< Upstreams that were tried already.
};

/** An upstream that may serve a request. @see rank_candidates */
struct candidate {
    const configuration::upstream* upstream = nullptr;
    std::string version;
    std::int64_t in_flight = 0;     ///< Requests of this node, plus those reported for other nodes.
    double prefix_confidence = 0.0; ///< Confidence from 0 to 1 that the prefix is cached there.
    bool is_same_zone = false;      ///< Whether it is in this node's availability zone.
    bool has_capacity = true;       ///< Whether this node's share of the agreed load admits the request.
};

/** The upstream chosen for an attempt. */
struct upstream_choice {
    configuration::upstream upstream;
    std::string model;
    std::string version;
};

/** Returns the index of the candidate to use. The list must not be empty. */
using routing_policy =
    std::function<std::size_t(const std::vector<candidate>& candidates, const route_request& request)>;

/** Returns the upstreams that a plan may use for a model, except those that are leaving or excluded. */
std::vector<candidate> list_candidates(const configuration::snapshot& configuration,
                                       const route_request& request);

/**
    Returns the candidates in the order in which admission tries them.

    The first two are the policy's first and second choice. The others follow by requests in flight,
    those with capacity before those without. The policy chooses only among candidates with capacity,
    unless there are none.
*/
std::vector<upstream_choice> rank_candidates(std::vector<candidate> candidates, const route_request& request,
                                             const routing_policy& policy);

/**
    Removes all candidates except those of the most preferred version that has any.

    If no listed version has a candidate, all are removed. An empty preference keeps all candidates.
*/
void keep_preferred_version(std::vector<candidate>& candidates, const std::vector<std::string>& preference);

/** Returns the index of the candidate with the fewest requests in flight. A `routing_policy`. */
std::size_t least_in_flight(const std::vector<candidate>& candidates, const route_request& request);

} // namespace samphireway::routing
