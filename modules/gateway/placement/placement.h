#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace samphireway::gateway {

/** An upstream to which a request may be sent, with its load as seen by this node. @see choose_upstream */
struct placement_candidate {
    std::string id;
    int in_flight = 0;         ///< Requests of this node that the upstream is serving.
    bool is_same_zone = false; ///< Whether it is in this node's availability zone.
    bool is_full = false;      ///< Whether it refused a request a moment ago because it was full.
    bool is_ejected = false;   ///< Whether it is ejected because its recent requests failed.
    bool has_limit = false;    ///< Whether it limits its rate.
    bool is_at_limit = false;  ///< Whether its limit allows no request of this node now.
};

/** Properties of a request that placement uses. @see choose_upstream */
struct placement_request {
    std::optional<std::uint64_t> prefix; ///< Hash of the prompt's shared parts; empty if there are none.
    std::int64_t shared_tokens = 0;      ///< Tokens of those parts.
    std::uint64_t selector = 0;          ///< Breaks ties between equal candidates.
};

/** Limits of the load that prefix affinity may put on one upstream. @see choose_upstream */
struct placement_options {
    /** Limit as a multiple of the mean load. A quarter above the mean keeps the busiest upstream near the
     * others, while most prefixes keep their preferred upstream. */
    double cap_factor = 1.25;
    /** Requests added to the limit. With few requests per node the factor alone would send every second
     * request of one prefix to another upstream. */
    int cap_slack = 2;
    /** Prompts that share fewer tokens cost an engine little to read, and leave the slots of upstreams with a
     * limit to others. */
    std::int64_t least_shared_tokens = 1000;
    /** Such prompts go to an upstream with a limit if the others serve this many requests more. */
    int light_margin = 2;
};

/**
    Returns the index of the upstream for a request, or nothing if there is no candidate.

    Rendezvous hashing sends requests with the same prompt prefix to the same upstream from every node,
    without coordination. If that upstream has reached the load limit, the next one in the prefix's
    order is used; this bounds the load of a frequent prefix. Requests without a prefix go to the least
    loaded upstream; among equally loaded ones, this availability zone is preferred. The request's hash
    breaks the remaining ties, so that nodes, which do not see each other's requests, do not all choose
    the same upstream. Full upstreams are used only if no healthy one is left, and ejected ones only if no
   other is left.

    An upstream that limits its rate takes over from a busier one when its limit allows: the others serve what
   it cannot, and would be overloaded by what it can. Requests with a long prompt go first, since they relieve
   the others most. An upstream at its limit is never returned.
*/
std::optional<std::size_t> choose_upstream(const std::vector<placement_candidate>& candidates,
                                           const placement_request& request,
                                           const placement_options& options = {});

} // namespace samphireway::gateway
