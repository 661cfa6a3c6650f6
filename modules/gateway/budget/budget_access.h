#pragma once

#include "budget/budget.h"
#include "core/core.h"
#include "gateway/budget/borrowed_budget.h"
#include "gateway/budget/budget_waiters.h"
#include "gateway/budget/loan_book.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace samphireway::gateway {

/** Tokens reserved for one request, until they are passed to `budget_access::settle`. */
struct budget_reservation {
    std::string workspace;
    std::int64_t tokens = 0;
    std::optional<budget::reservation> grant; ///< Empty when the tokens were borrowed from another node.
    std::string lender;                       ///< Token of the lending process; empty with a grant.
};

/** Hooks of budget access. @see budget_access */
struct budget_access_hooks {
    /** Returns whether this node can reach the ledger, so that a draw can be expected soon. */
    std::function<bool()> can_draw;

    /** Returns whether this node is a ledger writer, which draws from the ledger itself. Other nodes
     * try to borrow first. @see choose_ledger_writers */
    std::function<bool()> is_ledger_writer;

    /** Asks other nodes for a loan and passes the loan to the handler. Fails with `budget_exhausted`
     * when a lender reports that the budget of the workspace does not cover the tokens,
     * `budget_unavailable` when no lender has enough tokens, and `no_upstream` when no lender can be
     * reached. */
    std::function<void(const std::string& workspace, std::int64_t tokens,
                       std::function<void(core::result<loan>)> on_loan)>
        borrow;

    /** Sends a report to a lender without retries. Calls the handler if the report was certainly not
     * sent. */
    std::function<void(const outgoing_loan_report& report, std::function<void()> on_not_sent)> report;

    core::clock time = {};
};

/**
    Reserves budget for requests. The sources, in this order, are: this node's grants, tokens left over
    from earlier loans, and then either a draw from the ledger or a new loan from another node.

    A node borrows when it cannot reach the ledger or is not a ledger writer. The lender reserves a loan
    in its own grants before it answers and keeps it reserved until the borrower returns it. So the
    budget cannot be overspent when the answer is lost or either node crashes. Traffic thread only.

    @see budget::grant_pool, loan_client, loan_book
*/
class budget_access {
public:
    using outcome_handler = std::function<void(core::result<budget_reservation>)>;

    budget_access(budget::grant_pool& grants_to_use, budget_access_hooks hooks_to_use);

    /** Reserves tokens and calls the handler, at once or later. Fails with `budget_exhausted` when the
     * budget of the workspace does not cover the tokens, and with `budget_unavailable` when not enough
     * could be drawn or borrowed in time. */
    void reserve(const std::string& workspace, std::int64_t tokens, core::steady_time now,
                 core::steady_time deadline, const outcome_handler& on_outcome);

    /** Settles a reservation: counts `used` tokens as used and makes the others available again. */
    void settle(const budget_reservation& held, std::int64_t used);

    /** Lends tokens of this node to another node, after a draw if necessary. Fails like `reserve`. */
    void lend(const loan_call& call, core::steady_time now,
              const std::function<void(core::result<void>)>& on_outcome);

    /** Settles loans as reported by a borrower. */
    void apply_report(const loan_report& report);

    /** Sends reports to lenders once per report interval, and expires loans without a report. Call this
     * periodically. */
    void sweep(core::steady_time now);

    /** Returns all free borrowed tokens to the lenders and counts all open loans to other nodes as
     * spent. Call this during a planned stop, before the grants are returned to the ledger. */
    void close();

    /** Retries the waiting requests and fails those past their deadline. Call this after each draw and
     * periodically. */
    void check(core::steady_time now);

    /** Returns whether this node can reach the ledger. */
    bool can_draw() const
    {
        return this->hooks.can_draw();
    }

    /** Returns whether any request waits for a draw. */
    bool is_waiting() const noexcept
    {
        return !this->waiters.is_empty();
    }

private:
    std::optional<budget_reservation> reserve_borrowed(const std::string& workspace, std::int64_t tokens);
    void await_draw(const std::string& workspace, std::int64_t tokens, core::steady_time now,
                    core::steady_time deadline, const outcome_handler& on_outcome);
    void draw_or_borrow(const std::string& workspace, std::int64_t tokens, core::steady_time now,
                        core::steady_time deadline, const outcome_handler& on_outcome);
    void borrow(const std::string& workspace, std::int64_t tokens, core::steady_time deadline,
                const outcome_handler& on_outcome);
    void on_loan(const std::string& workspace, std::int64_t tokens, const core::result<loan>& received,
                 core::steady_time deadline, const outcome_handler& on_outcome);
    void send_reports(bool returns_all);

    budget::grant_pool& grant_pool;
    budget_waiters waiters;
    const budget_access_hooks hooks;
    borrowed_budget borrowed;
    loan_book loans_to_others;
    core::steady_time next_report;
};

} // namespace samphireway::gateway
