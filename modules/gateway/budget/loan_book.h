#pragma once

#include "budget/budget.h"
#include "core/core.h"
#include "gateway/budget/loan_messages.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>

namespace samphireway::gateway {

/**
    The loans that this node has given to others.

    A loan stays reserved in the purse until its borrower reports it used or returns it, and counts as spent
    when no report comes in time. So what a borrower has lent minus what it has returned is spent at the end,
    whichever messages are lost. Traffic thread only.

    @see borrowed_budget
*/
class loan_book {
public:
    explicit loan_book(budget::purse& given_purse) : purse(given_purse) {}

    /** Enters a loan that was just reserved. */
    void add(const std::string& borrower, budget::reservation lent, core::steady_time now);

    /** Takes in a report; what exceeds the borrower's open loans is ignored. */
    void apply(const loan_report& report);

    /** Counts loans without a report as spent. */
    void expire(core::steady_time now);

    /** Counts all open loans as spent, before the grants are given back. */
    void close_all();

private:
    struct open_loan {
        budget::reservation lent;
        core::steady_time expires_at;
    };
    using loan_key = std::pair<std::string, std::string>; ///< Borrower and workspace.

    void settle(std::deque<open_loan>& open, std::int64_t tokens, bool is_used);

    budget::purse& purse;
    std::map<loan_key, std::deque<open_loan>> loans; ///< Oldest first.
};

} // namespace samphireway::gateway
