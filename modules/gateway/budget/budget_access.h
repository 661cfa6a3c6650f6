#pragma once

#include "budget/budget.h"
#include "core/core.h"
#include "gateway/budget/budget_waiters.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>

namespace samphireway::gateway {

/** Tokens set aside for one request. Ends by `budget_access::settle`. */
struct held_budget {
    std::string workspace;
    std::int64_t tokens = 0;
    std::optional<budget::reservation> grant; ///< Empty when the tokens were borrowed from another node.
};

/** Hooks of budget access. @see budget_access */
struct budget_access_hooks {
    /** Whether a draw from the ledger can be expected soon. */
    std::function<bool()> can_draw;

    /** Asks other nodes for tokens; the handler gets what one of them lent. Fails with `budget_exhausted`
     * when a node knows that the workspace cannot pay. */
    std::function<void(const std::string& workspace, std::int64_t tokens,
                       std::function<void(core::result<std::int64_t>)> on_loan)>
        borrow;
};

/**
    Where requests get budget from: this node's grant, what is left of earlier loans, a draw, or another node.

    A node that cannot reach the ledger borrows from nodes that can. The lender books a loan as spent, so it
    counts against the workspace's budget even if the answer is lost or the borrower dies. Traffic thread
   only.

    @see budget::purse, loan_client
*/
class budget_access {
public:
    using outcome_handler = std::function<void(core::result<held_budget>)>;

    budget_access(budget::purse& given_purse, budget_access_hooks given);

    /** Sets tokens aside, at once or later. Fails with `budget_exhausted` when the workspace cannot pay and
     * with `budget_unavailable` when nothing could be drawn or borrowed in time. */
    void reserve(const std::string& workspace, std::int64_t tokens, core::steady_time now,
                 core::steady_time deadline, const outcome_handler& on_outcome);

    /** Ends a reservation; what was not used is free again. */
    void settle(const held_budget& held, std::int64_t used);

    /** Gives tokens of this node to another one, when it can spare them. */
    void lend(const std::string& workspace, std::int64_t tokens, core::steady_time now,
              const std::function<void(core::result<std::int64_t>)>& on_outcome);

    /** Looks again at waiting requests. Call after draws and from time to time. */
    void check(core::steady_time now);

    /** Returns whether any request waits for a draw. */
    bool is_waiting() const noexcept
    {
        return !this->waiters.is_empty();
    }

private:
    std::optional<held_budget> take_borrowed(const std::string& workspace, std::int64_t tokens);

    budget::purse& purse;
    budget_waiters waiters;
    const budget_access_hooks hooks;
    std::unordered_map<std::string, std::int64_t> borrowed; ///< Free tokens by workspace.
};

} // namespace samphireway::gateway
