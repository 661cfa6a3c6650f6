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

/** Tokens set aside for one request. Ends by `budget_access::settle`. */
struct held_budget {
    std::string workspace;
    std::int64_t tokens = 0;
    std::optional<budget::reservation> grant; ///< Empty when the tokens were borrowed from another node.
    std::string lender;                       ///< Token of the process that lent them.
};

/** Hooks of budget access. @see budget_access */
struct budget_access_hooks {
    /** Whether a draw from the ledger can be expected soon. */
    std::function<bool()> can_draw;

    /** Whether this node is one of those that draw; the others borrow first. @see choose_ledger_writers */
    std::function<bool()> is_ledger_writer;

    /** Asks other nodes for tokens; the handler gets what one of them lent. Fails with `budget_exhausted`
     * when a node knows that the workspace cannot pay, `budget_unavailable` when all are short, and
     * `no_upstream` when none can be reached. */
    std::function<void(const std::string& workspace, std::int64_t tokens,
                       std::function<void(core::result<loan>)> on_loan)>
        borrow;

    /** Sends a report to a lender, once. Calls the handler when it certainly was not sent. */
    std::function<void(const due_report& report, std::function<void()> on_not_sent)> report;

    core::clock time = {};
};

/**
    Where requests get budget from: this node's grant, what is left of earlier loans, a draw, or another node.

    A node that cannot reach the ledger, or is not one of those that draw, borrows. A loan counts against the
    workspace's budget from before the answer until the borrower returns it, so it is safe against lost
    answers and against the death of either node. Traffic thread only.

    @see budget::purse, loan_client, loan_book
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

    /** Gives tokens of this node to another one, when it can spare them. Fails like `reserve`. */
    void lend(const loan_call& call, core::steady_time now,
              const std::function<void(core::result<void>)>& on_outcome);

    /** Takes in a borrower's report. */
    void take_report(const loan_report& report);

    /** Sends the reports that are due and ends loans without a report. Call from time to time. */
    void sweep(core::steady_time now);

    /** Returns what is borrowed and ends all loans, before a planned stop gives the grants back. */
    void close();

    /** Looks again at waiting requests. Call after draws and from time to time. */
    void check(core::steady_time now);

    /** Returns whether any request waits for a draw. */
    bool is_waiting() const noexcept
    {
        return !this->waiters.is_empty();
    }

private:
    std::optional<held_budget> take_borrowed(const std::string& workspace, std::int64_t tokens);
    void await_draw(const std::string& workspace, std::int64_t tokens, core::steady_time now,
                    core::steady_time deadline, const outcome_handler& on_outcome);
    void on_loan(const std::string& workspace, std::int64_t tokens, const core::result<loan>& received,
                 core::steady_time deadline, const outcome_handler& on_outcome);
    void send_reports(bool returns_all);

    budget::purse& purse;
    budget_waiters waiters;
    const budget_access_hooks hooks;
    borrowed_budget borrowed;
    loan_book lent;
    core::steady_time next_report;
};

} // namespace samphireway::gateway
