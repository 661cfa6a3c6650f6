#pragma once

#include "budget/budget.h"
#include "core/core.h"
#include "escrow/escrow.h"
#include "platform/objects/object_store.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace samphireway::admin {

/**
    A holder of budget grants that are neither spent nor returned. The ledger does not show whether the
    holder still runs; the operator must find that out. @see budget_accounts::in_doubt
*/
struct holder_in_doubt {
    std::string holder;
    escrow::amount outstanding = 0; ///< Tokens that are granted and neither spent nor returned.
    /// Time since its last ledger write, by the clocks of both nodes.
    std::chrono::milliseconds silent{0};
};

/**
    Reads and changes the accounts of plans in the budget ledgers, for operators.

    @see budget::grant_pool
*/
class budget_accounts {
public:
    budget_accounts(platform::object_store store_to_use, std::uint32_t ledger_shards_to_use,
                    core::clock time_to_use = {});

    /**
        Adds a deposit of tokens and returns the account. A repeated deposit id counts once, so that a
        deposit can be retried when its response was lost.

        Deposit ids are kept for a day, and the newest 64 of a plan for longer. Fails with `conflict`
        when the id was used with another amount or the plan was removed, with `invalid_argument` when
        the amount is not positive or the total would be too large, and with `overloaded` when the ledger
        object is full.
    */
    core::result<escrow::account> deposit(const std::string& plan, const std::string& deposit_id,
                                          escrow::amount amount) const;

    /**
        Reduces a plan's limit by a number of tokens and returns the account. Tokens are taken as they
        become available: granted tokens only when their holders return them, spent tokens never. The
        account shows how many tokens were taken. A repeated reduction id counts once.

        Fails with `conflict` when the id was used with another amount or fewer tokens are unspent,
        `invalid_argument` when the amount is not positive, and `overloaded` when the plan has too many
        reductions.
    */
    core::result<escrow::account> reduce(const std::string& plan, const std::string& reduction_id,
                                         escrow::amount amount) const;

    /**
        Marks an account as removed: it gets no more deposits and grants, and holders return their
        grants.
    */
    core::result<escrow::account> remove(const std::string& plan) const;

    /** Returns a plan's account. Fails with `not_found` when the plan has none. */
    core::result<escrow::account> read(const std::string& plan) const;

    /**
        Returns the holders with an outstanding amount that have not written to the ledger for 60 s, or
        all holders with an outstanding amount when `lists_all`.
    */
    core::result<std::vector<holder_in_doubt>> in_doubt(const std::string& plan, bool lists_all) const;

    /**
        Closes a holder's entry. Of its outstanding tokens, `charged` count as spent and the others
        become available. Without a value all outstanding tokens are charged, which is safe even when the
        holder still runs. Fails with `conflict` when the holder was closed with another charge.
    */
    core::result<escrow::account> settle_in_doubt(const std::string& plan, const std::string& holder,
                                                  std::optional<escrow::amount> charged) const;

private:
    using account_change = std::function<core::result<bool>(escrow::ledger&, escrow::account&)>;

    core::result<escrow::account> update_account(const std::string& plan, bool may_create,
                                                 const account_change& apply) const;
    std::string ledger_key(const std::string& plan) const;

    const platform::object_store store;
    const std::uint32_t ledger_shards;
    const core::clock time;
};

} // namespace samphireway::admin
