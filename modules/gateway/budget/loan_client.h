#pragma once

#include "core/core.h"
#include "gateway/budget/borrowed_budget.h"
#include "gateway/budget/loan_messages.h"
#include "gateway/http/upstream_pool.h"
#include "gateway/model/member.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace samphireway::gateway {

/** Options of a loan client. @see loan_client */
struct loan_client_options {
    std::string node;     ///< This node, which it does not ask.
    std::string borrower; ///< This process.
    std::function<std::shared_ptr<const member_list>()> members;
};

/**
    Borrows budget from the nodes that draw, one after the other, until one of them lends.

    A node that did not lend is not asked again for a while: for the same workspace, or at all if it was
   silent.
   Traffic thread only.

    @see budget_access, choose_ledger_writers
*/
class loan_client {
public:
    using loan_handler = std::function<void(core::result<loan>)>;

    loan_client(boost::asio::io_context& context, loan_client_options given);

    /** Asks for tokens. Fails with `budget_exhausted` when the workspace cannot pay, `budget_unavailable`
     * when the lenders are short, and `no_upstream` when none can be reached. */
    void borrow(const std::string& workspace, std::int64_t tokens, loan_handler on_loan);

    /** Sends a report to the process that lent, once; calls the handler when it certainly was not sent. */
    void report(const due_report& due, std::function<void()> on_not_sent);

    /** Returns whether a report is on its way. */
    bool is_reporting() const noexcept
    {
        return this->reports_in_flight > 0;
    }

private:
    struct search;

    std::vector<member> lenders(search& asked, core::steady_time now);
    std::shared_ptr<upstream_connection> connect(const member& lender, core::steady_time now);
    void ask_next(const std::shared_ptr<search>& asked);
    void on_answer(const std::shared_ptr<search>& asked, const member& lender, unsigned status);

    boost::asio::io_context& io;
    const loan_client_options options;
    upstream_pool pool;
    std::unordered_map<std::string, core::steady_time> refused_until; ///< By node, or node and workspace.
    int reports_in_flight = 0;
};

} // namespace samphireway::gateway
