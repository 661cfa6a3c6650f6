#include "gateway/budget/loan_client.h"

#include <algorithm>

namespace samphireway::gateway {

namespace {

using std::chrono::milliseconds;
using clock = std::chrono::steady_clock;

// Two round trips between availability zones and a draw of the lender.
constexpr milliseconds answer_timeout{220};
constexpr milliseconds pause_after_silence{1000};
// A lender that is short of a workspace's budget has drawn again by then, if it can.
constexpr milliseconds pause_after_refusal{300};
// More would use up the requester's time; three of the nodes that are not known to be cut off suffice.
constexpr std::size_t maximum_lenders = 3;
constexpr unsigned status_ok = 200;
constexpr unsigned status_exhausted = 402;

std::string lender_account(const std::string& node, const std::string& workspace)
{
    return node + "/" + workspace;
}

request_message make_message(const member& lender, const std::string& path, std::string body)
{
    return request_message{.method = "POST",
                           .target = path,
                           .headers = {{"Host", lender.address},
                                       {"Authorization", "Bearer " + lender.token},
                                       {"Content-Type", "application/json"}},
                           .body = std::move(body)};
}

} // namespace

/** One search for a lender. */
struct loan_client::search {
    std::string workspace;
    std::int64_t tokens = 0;
    loan_handler on_loan;
    std::vector<member> left;
    std::shared_ptr<upstream_connection> connection;
    std::unique_ptr<boost::asio::steady_timer> timer;
    bool is_answered = false;        ///< Of the current lender.
    bool has_reached_lender = false; ///< A lender has refused, now or a moment ago.
};

loan_client::loan_client(boost::asio::io_context& context, loan_client_options given)
    : io(context), options(std::move(given)), pool(context)
{
}

void loan_client::borrow(const std::string& workspace, std::int64_t tokens, loan_handler on_loan)
{
    auto asked = std::make_shared<search>();
    asked->workspace = workspace;
    asked->tokens = tokens;
    asked->on_loan = std::move(on_loan);
    asked->left = this->lenders(*asked, clock::now());
    asked->timer = std::make_unique<boost::asio::steady_timer>(this->io);
    this->ask_next(asked);
}

std::vector<member> loan_client::lenders(search& asked, core::steady_time now)
{
    const std::shared_ptr<const member_list> known = this->options.members();
    std::vector<std::pair<std::uint64_t, member>> ranked;
    for (const member& entry : known == nullptr ? std::vector<member>{} : known->ledger_writers) {
        const bool is_silent = now < this->refused_until[entry.id];
        const bool is_short = now < this->refused_until[lender_account(entry.id, asked.workspace)];
        asked.has_reached_lender = asked.has_reached_lender || is_short;
        if (entry.id != this->options.node && !is_silent && !is_short) {
            // Each borrower keeps to its lenders, so that what is left over and its reports gather there.
            ranked.emplace_back(core::hash64(entry.id + this->options.node), entry);
        }
    }
    std::sort(ranked.begin(), ranked.end(),
              [](const auto& left, const auto& right) { return left.first < right.first; });
    std::vector<member> chosen;
    for (std::size_t index = std::min(ranked.size(), maximum_lenders); index-- > 0;) {
        chosen.push_back(std::move(ranked[index].second)); // The first choice stands at the back.
    }
    return chosen;
}

std::shared_ptr<upstream_connection> loan_client::connect(const member& lender, core::steady_time now)
{
    return this->pool.acquire(
        upstream{.id = lender.id, .service = {}, .address = lender.address, .port = lender.port}, now);
}

void loan_client::report(const due_report& due, std::function<void()> on_not_sent)
{
    const std::shared_ptr<upstream_connection> connection = this->connect(due.lender, clock::now());
    const request_message message =
        make_message(due.lender, loan_report_path,
                     make_loan_report({.borrower = this->options.borrower, .uses = due.uses}));
    auto timer = std::make_shared<boost::asio::steady_timer>(this->io, answer_timeout);
    timer->async_wait([this, connection, lender = due.lender.id](boost::system::error_code failure) {
        if (!failure) {
            connection->close(); // Calls no hook.
            --this->reports_in_flight;
            core::log_event(core::log_level::warning, "loan_report_lost",
                            {{"lender", lender}, {"reason", "no answer in time"}});
        }
    });
    ++this->reports_in_flight;
    connection->send(
        message,
        upstream_hooks{.on_head = [](const response_head&) { return response_owner::this_request; },
                       .on_body = [](std::string_view) {},
                       .on_end =
                           [this, timer, connection, lender = due.lender.id,
                            on_not_sent = std::move(on_not_sent)](upstream_result result) {
                               timer->cancel();
                               --this->reports_in_flight;
                               if (result == upstream_result::complete) {
                                   this->pool.release(lender, connection, clock::now());
                                   return;
                               }
                               if (result == upstream_result::not_connected) {
                                   on_not_sent();
                                   return;
                               }
                               core::log_event(core::log_level::warning, "loan_report_lost",
                                               {{"lender", lender}, {"reason", "the connection broke"}});
                           }});
}

void loan_client::ask_next(const std::shared_ptr<search>& asked)
{
    if (asked->left.empty()) {
        asked->on_loan(core::failure(asked->has_reached_lender ? core::error_code::budget_unavailable
                                                               : core::error_code::no_upstream,
                                     "no node lends budget of " + asked->workspace));
        return;
    }
    const member lender = std::move(asked->left.back());
    asked->left.pop_back();
    asked->is_answered = false;
    const core::steady_time now = clock::now();
    asked->connection = this->connect(lender, now);
    asked->timer->expires_after(answer_timeout);
    asked->timer->async_wait([this, asked, lender](boost::system::error_code failure) {
        if (!failure && !asked->is_answered) {
            asked->connection->close();
            this->on_answer(asked, lender, 0);
        }
    });
    const request_message call = make_message(
        lender, loan_path,
        make_loan_call(
            {.borrower = this->options.borrower, .workspace = asked->workspace, .tokens = asked->tokens}));
    auto status = std::make_shared<unsigned>(0);
    asked->connection->send(call,
                            upstream_hooks{.on_head =
                                               [status](const response_head& head) {
                                                   *status = head.status;
                                                   return response_owner::this_request;
                                               },
                                           .on_body = [](std::string_view) {},
                                           .on_end =
                                               [this, asked, lender, status](upstream_result result) {
                                                   const bool is_whole = result == upstream_result::complete;
                                                   this->on_answer(asked, lender, is_whole ? *status : 0);
                                               }});
}

void loan_client::on_answer(const std::shared_ptr<search>& asked, const member& lender, unsigned status)
{
    asked->is_answered = true;
    asked->timer->cancel();
    if (status == status_ok || status == status_exhausted) {
        this->pool.release(lender.id, asked->connection, clock::now());
    }
    asked->connection = nullptr;
    core::log_event(core::log_level::debug, "loan_answered",
                    {{"lender", lender.id},
                     {"workspace", asked->workspace},
                     {"tokens", asked->tokens},
                     {"status", status}});
    if (status == status_ok) {
        asked->on_loan(loan{.lender = lender, .tokens = asked->tokens});
        return;
    }
    if (status == status_exhausted) {
        asked->on_loan(core::failure(core::error_code::budget_exhausted,
                                     "the budget of " + asked->workspace + " does not cover the request"));
        return;
    }
    if (status == 0) {
        this->refused_until[lender.id] = clock::now() + pause_after_silence;
    }
    else {
        asked->has_reached_lender = true;
        this->refused_until[lender_account(lender.id, asked->workspace)] = clock::now() + pause_after_refusal;
    }
    this->ask_next(asked);
}

} // namespace samphireway::gateway
