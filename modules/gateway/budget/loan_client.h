#pragma once

#include "core/core.h"
#include "gateway/budget/borrowed_budget.h"
#include "gateway/budget/lender_book.h"
#include "gateway/budget/loan_messages.h"
#include "gateway/http/upstream_pool.h"
#include "gateway/model/member.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace samphireway::gateway {

/** Options of a loan client. @see loan_client */
struct loan_client_options {
    std::string node;     ///< Id of this node, which is not asked for loans.
    std::string borrower; ///< Id of this process, which lenders record with a loan.
    std::function<std::shared_ptr<const member_list>()> members;
    /** Returns the ids of nodes that can reach the object API; null if unknown. */
    std::function<std::shared_ptr<const std::vector<std::string>>()> in_contact;
};

/**
    Borrows budget from the ledger writers, asking one after the other until one of them lends.

    Traffic thread only.

    @see budget_access, lender_book
*/
class loan_client {
public:
    using loan_handler = std::function<void(core::result<loan>)>;

    loan_client(boost::asio::io_context& context_to_use, loan_client_options options_to_use);

    /** Borrows tokens and passes the loan to the handler. Fails with `budget_exhausted` when the budget
     * of the workspace does not cover the tokens, `budget_unavailable` when lenders answered but none
     * could lend, and `no_upstream` when no lender could be reached. */
    void borrow(const std::string& workspace, std::int64_t tokens, loan_handler on_loan);

    /** Sends a report to the lending process without retries. Calls the handler if the report was
     * certainly not sent. */
    void report(const outgoing_loan_report& pending, std::function<void()> on_not_sent);

    /** Returns whether a report was sent whose answer is still outstanding. */
    bool is_reporting() const noexcept
    {
        return this->reports_in_flight > 0;
    }

private:
    struct loan_answer;
    struct borrow_attempt;

    void choose_lenders(borrow_attempt& attempt);
    std::shared_ptr<upstream_connection> connect(const member& lender, core::steady_time now);
    void ask_next(const std::shared_ptr<borrow_attempt>& attempt);
    void on_answer(const std::shared_ptr<borrow_attempt>& attempt, const member& lender,
                   const loan_answer& answer);

    boost::asio::io_context& io;
    const loan_client_options options;
    upstream_pool pool;
    lender_book book;
    int reports_in_flight = 0;
};

} // namespace samphireway::gateway
