#pragma once

#include "configuration/configuration.h"
#include "moves/policy/move_record.h"
#include "moves/shares/version_router.h"

#include <map>
#include <string>
#include <vector>

namespace samphireway::moves {

/** A move and its latest record that this node knows. @see resolve_versions */
struct recorded_move {
    configuration::move_entry entry;
    move_record record;
};

/**
    Returns why a move may not start, or an empty string when it may.

    A move is blocked while another move of its model is in force or has an earlier deadline, or while
    its `from_version` is not the version in force.
*/
std::string find_blocking_reason(const recorded_move& move, const std::vector<recorded_move>& moves_of_model);

/**
    Returns the traffic shares of a model's versions, derived from the model's moves.

    A move that has begun and is not final is in force: its old version gets all traffic that its new
    version does not get. If there is none, the move that ended last decides: its new version is in
    force if the move is done, its old version if it was taken back or aborted. If all moves are
    pending, the old version of the move with the earliest deadline is in force.

    Every other version gets no traffic. A version that was taken back never replaces the version in
    force, even when the latter has no upstream left. The list must not be empty: a model without moves
    has no shares, and all its versions get traffic.
*/
model_shares resolve_versions(const std::vector<recorded_move>& moves_of_model,
                              const configuration::snapshot& configuration);

/** Returns whether an upstream that is not leaving serves a model at a version. */
bool is_served(const configuration::snapshot& configuration, const std::string& model,
               const std::string& version);

} // namespace samphireway::moves
