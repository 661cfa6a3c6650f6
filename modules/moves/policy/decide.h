#pragma once

#include "moves/policy/move_record.h"
#include "moves/policy/ramp.h"

#include <functional>
#include <optional>
#include <string>

namespace samphireway::moves {

/** What a node knows about a move at one time; the input of a decision. @see decide */
struct observations {
    move_record recorded;                   ///< Latest record known, from the platform, a peer or this node.
    std::optional<route_fault> fault;       ///< Fault found in the evidence at this node.
    std::uint64_t step_requests = 0;        ///< Requests to the new version in the current step.
    std::set<std::string> clearable_routes; ///< Routes on which the new version has served enough requests.
    std::string blocking_reason;            ///< Why the move may not start; empty if it may.
    bool is_new_ready = false;              ///< Whether an upstream serves the new version.
    ramp_limits limits;
};

/** Fractions of traffic that the new version gets. @see shares_from_record */
struct version_shares {
    double cleared = 0;   ///< On routes that the record lists as cleared.
    double uncleared = 0; ///< On all other routes.
};

/** Decision about a move at one time. @see decide */
struct decision {
    move_record next;          ///< Record to store; equal to the recorded one if nothing changes.
    move_state state{};        ///< State to show; if unfinished, it follows the current deadline.
    std::string reason;        ///< Why the move is in this state.
    version_shares shares;     ///< Shares according to `next`; zero while suspended.
    bool is_suspended = false; ///< A fault was found but may affect both versions.

    /** Returns the new version's share on a route. */
    double share(const std::string& route) const;
};

/**
    Decides about a move. A pure function: the same arguments give the same decision on every node.

    A confirmed fault takes the new version back at once and for the rest of the generation. An
    unconfirmed fault suspends the new version: it gets no traffic until the old version's outcomes show
    whether both versions are affected.

    A step of the ramp ends when its planned time is over and the new version has served `step_requests`
    requests in it without a finding; time alone ends no step. If the deadline passes before the move is
    done, the state is `late`, the reason is shown and the ramp continues.

    @see evidence_table::find_fault, step_deadline
*/
decision decide(const configuration::move_entry& move, const observations& seen, core::wall_time now);

/** Returns the shares that follow from a record; zero if the record is of another generation. */
version_shares shares_from_record(const configuration::move_entry& move, const move_record& record);

/**
    Splits a move's false-positive rate among its tests.

    A tenth is for the slowdowns of all traffic; the rest is shared equally by the comparisons over
    steps and the change detectors. The rate is kept for up to three million requests to the new
    version; beyond that, the rate of the detectors rises in proportion to the number of requests.
*/
detection_limits make_detection_limits(const ramp_limits& limits);

} // namespace samphireway::moves
