#pragma once

#include "configuration/repository/snapshot.h"
#include "core/core.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace samphireway::configuration {

/** An edit whose acceptance was confirmed to the operator. @see configuration_history */
struct accepted_edit {
    std::string key;
    generation written_generation = 0;
    /** Generation that the operator had seen; not set for an edit without a precondition. */
    std::optional<generation> expected;
    core::steady_time at; ///< When the acceptance was confirmed.
};

/** A generation that a node used to serve requests at a point in time. @see configuration_history */
struct served_generation {
    std::string node; ///< Id of the node, which it keeps when it restarts.
    std::string key;
    generation in_force = 0;
    core::steady_time at;
};

/** A period in which a node ran and could reach the platform, or a node that could reach the
    platform. */
struct reachable_period {
    std::string node;
    core::steady_time from;
    core::steady_time until;
};

/** Observations of the configuration at the nodes of a fleet. Those of one node are in order of
    time. */
struct configuration_history {
    std::vector<accepted_edit> edits;
    std::vector<served_generation> served;
    std::vector<reachable_period> reachable;
};

/** Time after its acceptance within which an edit must be in force at every reachable node. */
inline constexpr std::chrono::seconds maximum_propagation_time{5};

/**
    Returns a description of every violation in a history: a node that reverted to a lower generation,
    an edit that was not in force at a reachable node within `maximum_propagation_time`, two accepted
    edits that wrote the same generation, and an edit that did not write the generation after the one
    that it expected.
*/
std::vector<std::string> check_history(const configuration_history& history);

} // namespace samphireway::configuration
