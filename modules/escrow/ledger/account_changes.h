#pragma once

#include "escrow/ledger/ledger.h"

#include <cstddef>

namespace samphireway::escrow {

/** The use of one request, to be billed once for each request id. @see entry_update */
struct bill {
    std::uint64_t request_hash = 0;
    amount used = 0;
};

/** The changes that a holder requests in its next ledger write. @see grant_holder::prepare */
struct entry_update {
    amount draw = 0;            ///< Additional grant requested; the write grants at most what is available.
    amount give_back = 0;       ///< Part of the free grant that is returned.
    amount granted_before = 0;  ///< Sum of the earlier grants that the holder knows to have.
    amount returned_before = 0; ///< Sum of what it knows to have given back.
    amount spent_total = 0;     ///< Cumulative spend to settle, including uses of duplicate request ids.
    std::uint64_t sequence = 0;
    amount wanted = 0;              ///< Unmet need of waiting requests, shown to other holders.
    amount demand_per_second = 0;   ///< Recent use in tokens per second, shown to other holders.
    std::int64_t written_at_ms = 0; ///< Wall time at the holder.
    std::vector<bill> bills;        ///< The uses in `spent_total` that have a request id.
    bool is_final = false;          ///< The holder stops; its entry is removed when it is empty.
};

/**
    Time for which billed request ids are kept, by the clocks of the writers. It exceeds the deadline
    of 600 s for a whole request, after which a caller has no reason to repeat a request under the
    same id.
*/
constexpr std::int64_t request_retention_ms = 900'000;

/**
    Number of newest request ids that an account keeps regardless of their age, so that a clock jump
    cannot drop them.
*/
constexpr std::size_t minimum_request_ids_kept = 2048;

/**
    Maximum number of request ids in one ledger object, of 16 bytes each. Above it, the oldest ids are
    dropped before their retention ends.
*/
constexpr std::size_t maximum_request_ids_per_ledger = 32768;

/** Number of newest deposit ids that an account keeps regardless of their age. */
constexpr std::size_t minimum_deposits_kept = 64;

/**
    Maximum number of deposit ids in an account. Further deposits are refused until older ones can be
    folded.
*/
constexpr std::size_t maximum_deposits_kept = 256;

/** Age from which deposits, closures and empty holder entries may be folded. */
constexpr std::int64_t fold_age_ms = 86'400'000;

/**
    Size limit of a ledger object in bytes, below the platform's limit of 1 MB. Above it, new accounts
    and deposits are refused.
*/
constexpr std::size_t maximum_ledger_bytes = 900'000;

/**
    Applies a holder's update to an account and returns the resulting entry.

    The update names the sums of what the holder was granted and gave back before, so that it completes an
    entry that the ledger has lost, or has as of an earlier write, after a restore of the object API.

    `generation` is that of the object API, or zero if it names none.

    An update whose sequence the entry already shows is not applied again. The grant is limited to
    what is available. A use whose request id is already billed is not billed again. An update of a
    holder whose entry was closed or has ended changes nothing and returns an entry with `is_closed`.
*/
holder_entry apply_update(account& target, const std::string& holder, const entry_update& update,
                          std::uint64_t generation = 0);

/**
    Closes a holder: counts `charged` of its outstanding grant as spent and makes the remainder
    available. Returns the closure.

    Charging the whole outstanding amount is safe even while the holder still runs. Charging less is
    safe only when the holder has ended. Fails with `not_found` when there is no such entry and
    `invalid_argument` when `charged` is negative or above the outstanding amount. A repeated closure
    changes nothing and returns the first one.
*/
core::result<closure> close_holder(account& target, const std::string& holder, amount charged,
                                   std::int64_t now_ms);

/** Applies pending reductions to what is available, in the order of their ids. */
void take_reductions(account& target);

/** Folds old deposits and empty holder entries into sums, and drops old closures. */
void fold_old_entries(account& target, std::int64_t now_ms);

/** Drops the oldest billed request ids above the maximum. Returns the number of ids dropped. */
std::size_t drop_excess_request_ids(ledger& target, std::size_t maximum = maximum_request_ids_per_ledger);

/** Returns an upper bound of the stored size of a ledger in bytes, without serializing it. */
std::size_t size_bound(const ledger& value);

} // namespace samphireway::escrow
