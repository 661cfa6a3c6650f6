#pragma once

#include "core/core.h"
#include "gateway/http/upstream_pool.h"
#include "gateway/model/member.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace samphireway::gateway {

/** Path of the call by which a node asks another one for budget. */
inline const std::string loan_path = "/loans";

/** Returns the body of a loan call. @see parse_loan_call */
std::string make_loan_call(const std::string& workspace, std::int64_t tokens);

/** A loan call as read by the lender. */
struct loan_call {
    std::string workspace;
    std::int64_t tokens = 0;
};

/** Reads a loan call. Fails with `invalid_argument`. */
core::result<loan_call> parse_loan_call(const std::string& body);

/** Options of a loan client. @see loan_client */
struct loan_client_options {
    std::string node; ///< This node, which it does not ask.
    std::function<std::shared_ptr<const member_list>()> members;
};

/**
    Borrows budget from other nodes, one after the other, until one of them lends.

    A node that did not lend is not asked for a second: for the same workspace, or at all if it was silent.
   Traffic thread only.

    @see budget_access
*/
class loan_client {
public:
    using loan_handler = std::function<void(core::result<std::int64_t>)>;

    loan_client(boost::asio::io_context& context, loan_client_options given);

    /** Asks for tokens. Fails with `budget_exhausted` or `budget_unavailable`. */
    void borrow(const std::string& workspace, std::int64_t tokens, loan_handler on_loan);

private:
    struct loan;

    std::vector<member> lenders(const std::string& workspace, core::steady_time now);
    void ask_next(const std::shared_ptr<loan>& asked);
    void on_answer(const std::shared_ptr<loan>& asked, const member& lender, unsigned status);

    boost::asio::io_context& io;
    const loan_client_options options;
    upstream_pool pool;
    std::unordered_map<std::string, core::steady_time> refused_until; ///< By node, or node and workspace.
    std::uint64_t asked_count = 0;
};

} // namespace samphireway::gateway
