#pragma once

#include "escrow/escrow.h"

#include <chrono>
#include <cstddef>

namespace samphireway::budget {

/** Limits of the draw decision. @see decide_draw */
struct draw_options {
    /** Use that a full grant covers: an hour-long partition from the platform with a quarter to spare. It is
     * also the bound of the amount in doubt after a crash. */
    std::chrono::seconds horizon{4500};

    /** A plan with less than this much use left is near its end: holders keep small pieces only. */
    std::chrono::seconds end_phase{60};

    /** Use that a piece covers near a plan's end. */
    std::chrono::seconds end_piece{3};

    /** A plan with less than this much use left is in its tail: holders keep nothing in advance. */
    std::chrono::seconds tail{4};

    /** Use that a holder keeps when others lack money, before the end phase. */
    std::chrono::seconds kept_for_own_use{10};

    /** The horizon is at most this many times the time since the first request, so that the first holders of
     * a new plan do not take the parts of those that follow. */
    int horizon_growth = 10;

    /** Multiple of what waiting requests lack that is drawn along with it, while much is available. */
    escrow::amount drawn_ahead = 0;

    /** Whether open reservations count as demand, at their most, so that the first requests of a plan show it
     * before they end. Holders then keep more of a small plan. */
    bool counts_reservations = false;

    escrow::amount minimum_draw = 2000; ///< Tokens; a smaller draw is not worth a write.

    /** Sixteenths of the unspent total that holders take in proportion to their use; the rest stays available
     * for holders whose use grows. */
    int shared_sixteenths = 15;

    /** Whether that part also shrinks once less than 0.4 of the limit is left, so that a loss of all holders
     * costs little of a budget that is nearly spent. */
    bool tapers_with_rest = false;

    /** Time between settlements that nothing else makes urgent. Unsettled use counts as lost with the node.
     */
    std::chrono::milliseconds settle_interval{5000};

    /** Time over which recent use is averaged. With 30 s, plans with few requests had too little at a node
     * when an hour-long partition began. */
    std::chrono::seconds demand_smoothing{300};
};

/** What the decision looks at. @see decide_draw */
struct draw_input {
    escrow::amount free = 0;
    escrow::amount waiting = 0;           ///< Sum of the waiting requests' amounts.
    escrow::amount smallest_waiting = 0;  ///< Amount of the smallest waiting request.
    escrow::amount demand_per_second = 0; ///< Recent use at this node.
    bool is_idle = false;                 ///< No request for a while.
    std::chrono::seconds age{0};          ///< Time since the first request at this node.
    escrow::amount available = 0;         ///< Last known available amount of the account.
    escrow::amount outstanding = 0;       ///< Last known sum of all holders' outstanding grants.
    escrow::amount others_demand = 0;     ///< Recent use at all other holders.
    escrow::amount pending_reduction = 0; ///< What an operator's reduction still has to take.
    escrow::amount others_wanted = 0;     ///< Sum of the needs that other holders have marked.
    std::size_t holders = 1;
    escrow::amount limit = 0; ///< Of the account.
};

/** What the next ledger write does; all zero when none is due. */
struct draw_decision {
    escrow::amount draw = 0;
    escrow::amount give_back = 0;
    escrow::amount wanted = 0; ///< Need to mark in the ledger entry.
    bool is_urgent = false;    ///< A request waits for the write, here or at another holder.
};

/** Phases of a plan, by what is left in relation to recent use. @see phase_of */
enum class plan_phase {
    normal,
    end, ///< Holders keep small pieces; the rest stays available.
    tail ///< Everything is available; draws are for waiting requests only.
};

/** Returns the phase of a plan. @see draw_options */
plan_phase phase_of(const draw_options& options, const draw_input& input);

/** Returns whether too little is available to serve a need at once, so that holders depend on each other's
 * returns and should look at the ledger often. */
bool is_scarce(const draw_options& options, const draw_input& input);

/**
    Sizes the next draw or return of a grant.

    Far from the end a grant covers the horizon of recent use, and at most the holder's share of the unspent
    total in proportion to use. A holder whose requests wait for more than is available marks its need; the
   others give back what they do not need. In the tail all give back what no request of theirs uses, so that
   pieces too small for any request are joined.
*/
draw_decision decide_draw(const draw_options& options, const draw_input& input);

} // namespace samphireway::budget
