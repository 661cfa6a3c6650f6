#pragma once

#include "core/core.h"
#include "escrow/escrow.h"

#include <cstdint>
#include <string>
#include <vector>

namespace samphireway::budget {

/** Kinds of events in the history of a plan's budget. @see budget_event */
enum class budget_event_kind {
    deposit,      ///< The ledger recorded a deposit, or a reduction when `sum` is negative.
    ledger_write, ///< The ledger stored a write of a holder; `entry` and `billed` show the result.
    closure,      ///< An operator closed a holder: `sum` was charged, the rest of its grant released.
    reservation,  ///< A holder reserved `sum` for `request`.
    dispatch,     ///< A holder sent the first byte of `request` to an upstream.
    settlement    ///< A holder ended the reservation of `request` with `sum` tokens used.
};

/**
    One event in the history of a plan's budget. Events are recorded in the order in which they took
    effect.

    `request` identifies one attempt at one node; `request_hash` is the hash of the caller's request
    id, zero when the caller gave none.

    @see check_history
*/
struct budget_event {
    budget_event_kind kind = budget_event_kind::deposit;
    std::string plan;
    std::string holder;
    std::string request;
    std::uint64_t request_hash = 0;
    escrow::amount sum = 0;
    escrow::holder_entry entry;
    std::vector<std::uint64_t> billed; ///< Hashes of the request ids that a ledger write billed.
};

/** Returns the name of an event kind in snake_case. */
std::string_view to_string(budget_event_kind kind) noexcept;

} // namespace samphireway::budget
