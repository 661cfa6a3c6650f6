#pragma once

#include "budget/budget.h"
#include "core/core.h"

#include <functional>
#include <list>

namespace samphireway::gateway {

/**
    Requests that wait until more of a workspace's budget is drawn. Traffic thread only.

    @see budget::purse
*/
class budget_waiters {
public:
    using outcome_handler = std::function<void(core::result<budget::reservation>)>;

    explicit budget_waiters(budget::purse& given_purse) : purse(given_purse) {}

    /** Reserves at once, or waits until a draw, the end of the budget or the deadline. */
    void reserve(const std::string& workspace, std::int64_t tokens, core::steady_time now,
                 core::steady_time deadline, outcome_handler on_outcome);

    /** Looks again at all waiting requests. Call after draws and from time to time for the deadlines. */
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

    budget::purse& purse;
    std::list<waiter> waiting;
};

} // namespace samphireway::gateway
