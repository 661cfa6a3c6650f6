#pragma once

#include "budget/budget.h"
#include "core/core.h"

#include <functional>
#include <list>

namespace samphireway::gateway {

/**
    Requests that wait until more of their workspace's budget is drawn from the ledger. Traffic thread
    only.

    @see budget::grant_pool
*/
class budget_waiters {
public:
    using outcome_handler = std::function<void(core::result<budget::reservation>)>;

    explicit budget_waiters(budget::grant_pool& grants_to_use) : grant_pool(grants_to_use) {}

    /** Reserves tokens at once, or waits until a draw provides them, the budget is exhausted or the
     * deadline passes, and then calls the handler. */
    void reserve(const std::string& workspace, std::int64_t tokens, core::steady_time now,
                 core::steady_time deadline, outcome_handler on_outcome);

    /** Retries all waiting requests and fails those past their deadline. Call this after each draw and
     * periodically. */
    void check(core::steady_time now);

    /** Returns whether any request waits. */
    bool is_empty() const noexcept
    {
        return this->waiting.empty();
    }

private:
    struct waiter {
        budget::waiting_request request;
        outcome_handler on_outcome;
    };

    budget::grant_pool& grant_pool;
    std::list<waiter> waiting;
};

} // namespace samphireway::gateway
