#pragma once

#include "configuration/lists/move_entry.h"
#include "moves/evidence/evidence_table.h"

#include <optional>
#include <set>
#include <string>

namespace samphireway::moves {

/** State of a move. `done`, `taken_back` and `aborted` are final for a generation. @see move_record */
enum class move_state { pending, canary, ramping, holding, done, taken_back, late, aborted };

/** Returns the name of a state as stored and shown. */
std::string_view to_string(move_state state) noexcept;

/**
    The record of a move, kept in `status/moves/<id>`.

    Any node may write it by conditional update. A record only moves forward: `merge` never returns a
    lower generation, nor, within a generation, an unfinished state after a final one or an earlier
    step. Therefore two drivers at once, or a driver that resumes after a pause, cannot undo each
    other's work.

    @see merge, decide
*/
struct move_record {
    std::uint64_t generation = 0;
    std::string from_version;               ///< Old version; a later generation may have another.
    std::string to_version;                 ///< New version; a later generation may have another.
    move_state state = move_state::pending; ///< `late` while the ramp continues after the deadline.
    int step = 0;                           ///< Index into `ramp_steps`.
    core::wall_time begun;                  ///< When the canary started; the epoch before that.
    core::wall_time step_since;             ///< When the current step started.
    core::wall_time finished;               ///< When the state became final.
    std::set<std::string> cleared; ///< Routes with enough requests to the new version and no finding.
    std::string reason;            ///< Why the move is in this state.
    std::optional<route_fault> fault;
    core::wall_time late_since;    ///< When the last missed deadline was noticed; the epoch if none was.
    std::string driver;            ///< Node that advances the move; correctness does not depend on it.
    core::wall_time driver_until;  ///< End of the driver's lease, until which other nodes do not drive.
    core::wall_time late_deadline; ///< Deadline that passed; an operator may have set another since.

    bool operator==(const move_record&) const = default;

    /** Returns whether the state is final for this generation. */
    bool is_final() const noexcept;

    /** Returns whether the canary has started. */
    bool has_begun() const noexcept;
};

/**
    Merges two records of a move: the later one, with the routes that either has cleared in this
    generation and the driver with the later lease. Within a generation, `taken_back` is later than
    every other state.
*/
move_record merge(const move_record& left, const move_record& right);

/** Returns the JSON form in which a record is stored. */
Json::Value to_json(const move_record& value);

/** Reads a record; fails with `invalid_argument` if its state is missing or unknown. */
core::result<move_record> move_record_from_json(const Json::Value& json);

/** Returns the key of a move's record in the object API. */
std::string record_key(const std::string& move_id);
inline constexpr const char* record_prefix = "status/moves/";

} // namespace samphireway::moves
