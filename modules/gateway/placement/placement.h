#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace samphireway::gateway {

/** One upstream that may get a request, with what this node knows of its load. @see choose_upstream */
struct placement_candidate {
    std::string id;
    int in_flight = 0; ///< Requests of this node.
    bool is_same_zone = false;
    bool is_full = false;    ///< It refused a request a moment ago because it was full.
    bool is_suspect = false; ///< Its recent responses failed.
};

/** What placement looks at in a request. @see choose_upstream */
struct placement_request {
    std::optional<std::uint64_t>
        prefix;                 ///< Hash of the shared parts of the prompt; empty when there are none.
    std::uint64_t selector = 0; ///< Breaks ties between equal candidates.
};

/** Bounds of the load that prefix affinity may put on one upstream. @see choose_upstream */
struct placement_options {
    // A quarter above the mean keeps the busiest upstream near the others while most prefixes stay at home.
    double cap_factor = 1.25;
    // With few requests per node a plain factor would rule out every second request of one prefix.
    int cap_slack = 2;
};

/**
    Picks the upstream for a request, or nothing when there is no candidate.

    Requests with the same prompt prefix go to the same upstream at every node, without messages, by
    rendezvous hashing; an upstream above the cap passes them to the next one in the prefix's order. Others go
    to the least loaded upstream, within this availability zone first. Suspect and full upstreams are used
    only when no other is left.

    Answers the load of hot prefixes and of hot spots between nodes that do not see each other's requests.
*/
std::optional<std::size_t> choose_upstream(const std::vector<placement_candidate>& candidates,
                                           const placement_request& request,
                                           const placement_options& options = {});

} // namespace samphireway::gateway
