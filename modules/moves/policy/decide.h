#pragma once

#include "moves/policy/progress.h"
#include "moves/policy/ramp.h"

#include <functional>
#include <optional>
#include <string>

namespace samphireway::moves {

/** What a node knows of a move at a time. @see decide */
struct observations {
    progress recorded;                ///< Latest record known, from the platform, a peer or this node.
    std::optional<route_fault> fault; ///< Found in the evidence of this node or reported by a peer.
    std::uint64_t step_requests = 0;  ///< Of the new version in the current step.
    std::set<std::string> clear;      ///< Routes on which the new version has served enough.
    std::string blocked;              ///< Why the move cannot start, such as another move; empty when it can.
    bool is_new_ready = false;        ///< An upstream serves the new version.
    ramp_limits limits;
};

/** Shares of the new version by the record of a move. @see shares_of */
struct version_shares {
    double cleared = 0;   ///< On routes that the record lists as cleared.
    double uncleared = 0; ///< On all others.
};

/** What to do about a move now. @see decide */
struct decision {
    progress next;      ///< The record as it should be; equal to the recorded one when nothing changes.
    move_state state{}; ///< State to show; in contrast to the record it follows the present deadline.
    std::string reason;
    version_shares shares;     ///< By `next`; none while suspended.
    bool is_suspended = false; ///< A fault shows, but may be one of both versions.

    /** Returns the new version's share on a route. */
    double share(const std::string& route) const;
};

/**
    Decides about a move. Pure: the same arguments give the same decision on every node.

    A confirmed fault takes the version back at once and for the rest of the generation. A fault that is not
    confirmed suspends the new version: it gets no traffic until the old version's outcomes tell whether both
   are in trouble. A step of the ramp ends when its planned time is over and the new version has served
   `step_requests` in it without a finding; time alone ends no step. When the hour passes first, the state is
   `late` with the reason, and the ramp goes on.

    @see evidence_table::find_fault, step_deadline
*/
decision decide(const configuration::move_entry& move, const observations& seen, core::wall_time now);

/** Returns the shares that a record stands for; none when the record is of another generation. */
version_shares shares_of(const configuration::move_entry& move, const progress& record);

/**
    Splits a move's false-positive rate over its judgements: a tenth for the slowdowns of all traffic, half of
   the rest for the comparisons over steps and half for the detectors. It holds for up to three million
   requests of the new version; a longer move has a rate higher in proportion.
*/
judgement_limits limits_of_judgement(const ramp_limits& limits);

} // namespace samphireway::moves
