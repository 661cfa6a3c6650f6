#pragma once

#include "gateway/budget/loan_messages.h"
#include "gateway/model/member.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace samphireway::gateway {

/** Tokens that a node has lent to this one. */
struct loan {
    member lender; ///< With the token of the process that lent.
    std::int64_t tokens = 0;
};

/** A report that is due at a lender. */
struct due_report {
    member lender;
    std::vector<loan_use> uses;
};

/**
    What this node has borrowed from others, by lender and workspace.

    A report names the process that lent: one that started later knows nothing of the loan, and must not
    credit it against the loans of others. Traffic thread only.

    @see loan_book
*/
class borrowed_budget {
public:
    /** Adds a loan. */
    void add(const std::string& workspace, const loan& received);

    /** Takes tokens out of one lender's loans; returns the token of its process, or nothing. */
    std::optional<std::string> take(const std::string& workspace, std::int64_t tokens);

    /** Ends the use of tokens taken before; what was not used is free again. */
    void settle(const std::string& workspace, const std::string& lender_token, std::int64_t tokens,
                std::int64_t used);

    /** Returns the reports that are due. They return what has been free since the last ones, or all that is
     * free. */
    std::vector<due_report> take_reports(bool returns_all);

    /** Takes a report back that certainly was not sent. */
    void restore(const due_report& unsent);

private:
    struct balance {
        bool is_empty() const noexcept
        {
            return this->free == 0 && this->taken == 0 && this->used == 0;
        }

        std::int64_t free = 0;
        std::int64_t taken = 0;      ///< By requests that have not ended.
        std::int64_t least_free = 0; ///< Since the last report.
        std::int64_t used = 0;       ///< Since the last report.
    };
    struct lender_balances {
        member lender;
        std::map<std::string, balance> by_workspace;
    };

    std::map<std::string, lender_balances> lenders; ///< By the token of the process.
};

} // namespace samphireway::gateway
