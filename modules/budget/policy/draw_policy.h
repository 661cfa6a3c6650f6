#pragma once

#include "escrow/escrow.h"

#include <chrono>
#include <cstddef>

namespace samphireway::budget {

/** Parameters of the draw decision. @see decide_draw */
struct draw_options {
    /**
        Time of recent use that a full grant covers. The default outlasts an hour-long partition from
        the platform by a quarter. It also bounds the amount in doubt after a crash.
    */
    std::chrono::seconds horizon{4500};

    /**
        A plan that has less than this time of use left is in the low phase: holders keep small grants
        only.
    */
    std::chrono::seconds low_phase_threshold{60};

    /** Time of use that a grant covers in the low phase. */
    std::chrono::seconds low_phase_grant{3};

    /**
        A plan that has less than this time of use left is nearly exhausted: holders keep no grant
        beyond their open requests.
    */
    std::chrono::seconds nearly_exhausted_threshold{4};

    /**
        Time of use that a holder keeps when other holders have an unmet need and the plan is in the
        normal phase.
    */
    std::chrono::seconds retained_in_shortage{10};

    /**
        Bounds the horizon to this multiple of the time since the first request, so that the first
        holders of a new plan do not draw the shares of holders that follow.
    */
    int horizon_growth_factor = 10;

    /**
        While much is available, a draw for waiting requests also draws this multiple of the missing
        amount in advance.
    */
    escrow::amount draw_ahead_factor = 0;

    /**
        Whether open reservations count as demand with their full amount, so that the first requests
        of a plan count before they end. Holders then keep more of a small plan.
    */
    bool counts_reservations = false;

    escrow::amount minimum_draw = 2000; ///< In tokens; a smaller draw is not worth a ledger write.

    /**
        Sixteenths of the unspent total that holders draw in proportion to their use. The remainder
        stays available for holders whose use grows.
    */
    int shared_sixteenths = 15;

    /**
        Whether the shared part shrinks further once less than 0.4 of the limit is unspent, so that
        losing all holders costs little of a nearly spent budget.
    */
    bool tapers_with_unspent = false;

    /**
        Time between two settlements when no other write is urgent. When a node is lost, its unsettled
        use is lost with it.
    */
    std::chrono::milliseconds settle_interval{5000};

    /**
        Time over which recent use is averaged. With 30 s, nodes held too little of plans with few
        requests when an hour-long partition began.
    */
    std::chrono::seconds demand_smoothing{300};
};

/** State that the draw decision depends on. @see decide_draw */
struct draw_input {
    escrow::amount free = 0;                     ///< Amount that this node can reserve now.
    escrow::amount waiting_total = 0;            ///< Sum of the amounts of waiting requests.
    escrow::amount smallest_waiting_request = 0; ///< Amount of the smallest waiting request.
    escrow::amount demand_per_second = 0;        ///< Recent use at this node, in tokens per second.
    bool is_idle = false;                        ///< Whether this node had no request for ten minutes.
    std::chrono::seconds time_in_use{0};         ///< Time since the first request at this node.
    escrow::amount available = 0;                ///< Last known available amount of the account.
    escrow::amount outstanding = 0;              ///< Last known sum of all holders' outstanding grants.
    escrow::amount others_demand = 0;            ///< Recent use at other holders, in tokens per second.
    escrow::amount pending_reduction = 0;        ///< Amount that reductions still have to take.
    escrow::amount others_wanted = 0;            ///< Sum of the unmet needs that other holders show.
    std::size_t holder_count = 1;                ///< Number of holders in the account.
    escrow::amount limit = 0;                    ///< Limit of the account.
};

/** Changes that the next ledger write makes; all zero when no write is due. */
struct draw_decision {
    escrow::amount draw = 0;
    escrow::amount give_back = 0;
    escrow::amount wanted = 0; ///< Unmet need to show in the ledger entry.
    bool is_urgent = false;    ///< Whether a request waits for the write, here or at another holder.
};

/** Phases of a plan, by its unspent amount in relation to recent use. @see phase_of */
enum class plan_phase {
    normal,
    low,             ///< Holders keep small grants; the remainder stays available.
    nearly_exhausted ///< Holders keep no idle grant; they draw for waiting requests only.
};

/** Returns the phase of a plan. @see draw_options */
plan_phase phase_of(const draw_options& options, const draw_input& input);

/**
    Returns whether too little is available to serve a need at once. Holders then depend on each
    other's returns and should read the ledger often.
*/
bool is_scarce(const draw_options& options, const draw_input& input);

/**
    Returns the size of the next draw or return of a grant.

    In the normal phase a grant covers the horizon of recent use, but at most the holder's share of
    the unspent total, in proportion to use. A holder whose requests wait for more than is available
    shows its unmet need in the ledger, and the others give back what they do not need. In the nearly
    exhausted phase every holder gives back what its requests do not use, so that remainders that are
    each too small for a request are combined.
*/
draw_decision decide_draw(const draw_options& options, const draw_input& input);

} // namespace samphireway::budget
