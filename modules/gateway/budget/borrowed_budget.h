#pragma once

#include "gateway/budget/loan_messages.h"
#include "gateway/model/member.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace samphireway::gateway {

/** A loan of tokens that this node has received from another node. */
struct loan {
    member lender; ///< The lending node; its token identifies the process that granted the loan.
    std::int64_t tokens = 0;
};

/** A report of used and returned tokens that this node still has to send to a lender. */
struct outgoing_loan_report {
    member lender;
    std::vector<loan_use> uses;
};

/**
    The tokens that this node has borrowed from other nodes, by lending process and workspace.

    Each report is addressed to the process that granted the loan. A process of the same node that
    started later has no record of the loan and must not credit the report against loans to other
    borrowers. Traffic thread only.

    @see loan_book
*/
class borrowed_budget {
public:
    void add(const std::string& workspace, const loan& received);

    /** Reserves tokens from the loans of a single lender. Returns the token of the lending process, or
     * nothing when no lender has enough unreserved tokens left. */
    std::optional<std::string> reserve(const std::string& workspace, std::int64_t tokens);

    /** Settles a reservation: counts `used` tokens as used and makes the others available again. */
    void settle(const std::string& workspace, const std::string& lender_token, std::int64_t tokens,
                std::int64_t used);

    /** Returns the reports to send now and resets the amounts that they contain. A report returns the
     * tokens that were free during the whole time since the last report, or all free tokens if
     * `returns_all` is true. */
    std::vector<outgoing_loan_report> collect_reports(bool returns_all);

    /** Restores the amounts of a report that was certainly not sent. */
    void restore(const outgoing_loan_report& unsent);

private:
    struct balance {
        bool is_empty() const noexcept
        {
            return this->free == 0 && this->reserved == 0 && this->used == 0;
        }

        std::int64_t free = 0;         ///< Tokens available for new requests.
        std::int64_t reserved = 0;     ///< Tokens reserved by requests that have not ended.
        std::int64_t minimum_free = 0; ///< Smallest value of `free` since the last report.
        std::int64_t used = 0;         ///< Tokens used since the last report.
    };
    struct lender_balances {
        member lender;
        std::map<std::string, balance> by_workspace;
    };

    std::map<std::string, lender_balances> lenders; ///< By the token of the lending process.
};

} // namespace samphireway::gateway
