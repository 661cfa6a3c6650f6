#pragma once

#include "escrow/ledger/account_changes.h"
#include "escrow/ledger/ledger.h"

#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace samphireway::escrow {

/**
    A node's grant from one account. Reserves and settles without I/O.

    Reservations and settlements may come from any thread. `prepare`, `commit`, `abandon` and
    `mark_outcome_unknown` are for the control thread, which has at most one write in flight per
    account.

    When the account shows that the holder's entry was closed, the holder starts a new epoch under
    another holder id, with nothing granted. A settlement in an earlier epoch has no effect, since the
    closure already accounted for it.

    @see apply_update
*/
class grant_holder {
public:
    /** Reserves an amount if the grant covers it. Returns whether it was reserved. */
    bool reserve(amount wanted);

    /**
        Reserves an amount and returns the epoch to settle it in, or nothing when the grant does not
        cover it.
    */
    std::optional<std::uint32_t> reserve_in_epoch(amount wanted);

    /**
        Ends a reservation: `used` counts as spent, the remainder is free again.

        @pre 0 <= used <= reserved
    */
    void settle(amount amount_reserved, amount used);

    /**
        Ends a reservation made in `epoch`. The use is billed once for each request hash, unless the
        hash is zero.

        @pre 0 <= used <= reserved
    */
    void settle(amount amount_reserved, amount used, std::uint64_t request_hash, std::uint32_t epoch);

    /** Returns the amount that can be reserved now. */
    amount free() const;

    /** Returns the sum of open reservations. */
    amount reserved() const;

    /** Returns the cumulative spend, whether or not the ledger shows it yet. */
    amount spent() const;

    /** Returns the ledger entry as of the last commit. */
    holder_entry committed_entry() const;

    /** Returns the current epoch: the number of times that the holder's entry was closed. */
    std::uint32_t epoch() const;

    /** Returns whether some spend is not yet settled in the ledger. */
    bool has_unsettled_spend() const;

    /**
        Starts a write and returns its update. Sets aside up to `give_back` of the free grant, so that
        it cannot be reserved meanwhile.

        While an earlier write has not ended, returns its update again and ignores the arguments,
        since the ledger may already contain it under its sequence.
    */
    entry_update prepare(amount draw, amount give_back);

    /**
        Starts a write with the fields of `requested`; the spend, the sequence and the bills are
        filled in.

        @see prepare
    */
    entry_update prepare(entry_update requested);

    /** Returns whether a write has not ended, including one whose outcome is unknown. */
    bool has_write_in_flight() const;

    /** Ends a write with the entry that the ledger now shows. A closed entry starts a new epoch. */
    void commit(const holder_entry& entry);

    /**
        Records that the write may have taken effect. From then on only `commit` or a new epoch ends
        it.
    */
    void mark_outcome_unknown();

    /**
        Ends a write that did not take effect, so that the next write includes its spend. Ignored
        after `mark_outcome_unknown`, since a failed retry does not show that the first attempt
        failed.
    */
    void abandon();

    /** Starts a new epoch with nothing granted, after the entry was closed. */
    void start_new_epoch();

private:
    amount free_locked() const;
    amount spent_locked() const;
    void start_new_epoch_locked();

    mutable std::mutex mutex;
    holder_entry committed;
    amount reserved_total = 0;
    amount in_flight_spent = 0; ///< Spend that the write in flight settles.
    amount unwritten_spent = 0; ///< Spend that no write has settled yet.
    std::vector<bill> unwritten_bills;
    std::optional<entry_update> in_flight;
    bool is_outcome_unknown = false;
    std::uint32_t current_epoch = 0;
};

} // namespace samphireway::escrow
