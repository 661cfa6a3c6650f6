#pragma once

#include "core/core.h"

#include <cstdint>
#include <json/json.h>
#include <string>

namespace samphireway::configuration {

/**
    An operator's order to move a model's traffic from one version to another by a deadline.

    After a rollback or an abort, the move starts again only when the operator sets a higher
    `generation`.

    @see move_from_json
*/
struct move_entry {
    std::string id;
    std::string model;
    std::string from_version;
    std::string to_version;
    core::wall_time deadline;     ///< Time by which the operator wants the move to be complete.
    std::uint64_t generation = 1; ///< Number of this attempt; the operator raises it to try again.
    bool is_aborted = false;

    bool operator==(const move_entry&) const = default;
};

/** Parses the stored form of a move. Fails with `invalid_argument`, naming the field. */
core::result<move_entry> move_from_json(const std::string& id, const Json::Value& json);

/** Returns the stored form of a move. @see move_from_json */
Json::Value to_json(const move_entry& value);

/** Fails with `conflict` when an edit lowers a move's generation, or when it changes the model or a
    version or restarts an aborted move without a higher generation. */
core::result<void> check_move_edit(const move_entry& before, const move_entry& after);

} // namespace samphireway::configuration
