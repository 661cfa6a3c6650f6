#pragma once

#include "budget/history/budget_event.h"

#include <cstddef>
#include <set>
#include <string>
#include <vector>

namespace samphireway::budget {

/** A rule that a history breaks, with the index of the event that breaks it. @see check_history */
struct history_violation {
    std::size_t event = 0;
    std::string rule;
    std::string detail;
};

/** Options of a check. @see check_history */
struct history_options {
    bool is_complete = false; ///< Every holder has settled: the ledger must show exactly the use.
    /** Holders that ended without settling; the ledger is not expected to show all of their use. */
    std::set<std::string> lost_holders;
};

/**
    Checks, from recorded events alone, whether plans' budgets were accounted for correctly.

    The rules, by name:
    - `overspend`: what holders used and what operators charged never exceeds the deposits;
    - `overgrant`: grants that are not returned never exceed the deposits;
    - `uncovered_reservation`: a holder reserves only what its grant in the ledger covers;
    - `dispatch_without_reservation`: nothing is dispatched, or settled with a use, without a reservation;
    - `settlement_above_reservation`: a request uses at most what was reserved;
    - `billed_twice`: a request id is billed by at most one ledger write;
    - `entry_not_monotonic`: amounts of a holder's entry never fall; each write raises its sequence by one;
    - `spent_without_use`: the ledger bills no more than was used, with each request id counted once;
    - `use_not_billed`: in a complete history, the ledger bills all that was used.

    Returns the violations in the order of events; empty when the history is correct.
*/
std::vector<history_violation> check_history(const std::vector<budget_event>& events,
                                             const history_options& options = {});

} // namespace samphireway::budget
