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
    The open loans of this node to other nodes.

    A loan stays reserved in this node's grants until the borrower reports the tokens as used or
    returned, and counts as spent if no report arrives in time. So every lent token that is not returned
    ends up as spent, whichever messages are lost. Traffic thread only.

    @see borrowed_budget
*/
class loan_book {
public:
    explicit loan_book(budget::grant_pool& grants_to_use) : grant_pool(grants_to_use) {}

    /** Records a loan whose tokens were just reserved. */
    void add(const std::string& borrower, budget::reservation lent, core::steady_time now);

    /** Settles loans as reported by the borrower. Ignores tokens beyond the borrower's open loans. */
    void apply(const loan_report& report);

    /** Counts loans that are still open at the end of their lifetime as spent. */
    void expire(core::steady_time now);

    /** Counts all open loans as spent. Call this before the grants are returned to the ledger. */
    void close_all();

private:
    struct open_loan {
        budget::reservation lent;
        core::steady_time expires_at;
    };
    using loan_key = std::pair<std::string, std::string>; ///< Borrower and workspace.

    void settle(std::deque<open_loan>& open, std::int64_t tokens, bool is_used);

    budget::grant_pool& grant_pool;
    std::map<loan_key, std::deque<open_loan>> loans; ///< The loans of each key, oldest first.
};

} // namespace samphireway::gateway
