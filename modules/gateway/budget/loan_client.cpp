#include "gateway/budget/loan_client.h"

#include "gateway/http/peer_call.h"

#include <algorithm>

namespace samphireway::gateway {

namespace {

using std::chrono::milliseconds;
using clock = std::chrono::steady_clock;

// Covers two round trips between availability zones and a draw by the lender.
constexpr milliseconds answer_timeout{220};
constexpr unsigned status_ok = 200;
constexpr unsigned status_exhausted = 402;

} // namespace

/** The answer of a lender; without one, the status is zero. */
struct loan_client::loan_answer {
    unsigned status = 0;
    bool has_ledger_contact = true;
};

/** One call of `borrow`, which asks several lenders in turn. */
struct loan_client::borrow_attempt {
    std::string workspace;
    std::int64_t tokens = 0;
    loan_handler on_loan;
    std::vector<member> remaining_lenders; ///< The next lender to ask is the last element.
    std::shared_ptr<upstream_connection> connection;
    std::unique_ptr<boost::asio::steady_timer> timer;
    bool is_answered = false;        ///< Whether the current lender has answered or timed out.
    bool has_reached_lender = false; ///< Whether a lender has refused, in this attempt or shortly before it.
};

loan_client::loan_client(boost::asio::io_context& context_to_use, loan_client_options options_to_use)
    : io(context_to_use), options(std::move(options_to_use)), pool(context_to_use), book(this->options.node)
{
}

void loan_client::borrow(const std::string& workspace, std::int64_t tokens, loan_handler on_loan)
{
    auto attempt = std::make_shared<borrow_attempt>();
    attempt->workspace = workspace;
    attempt->tokens = tokens;
    attempt->on_loan = std::move(on_loan);
    this->choose_lenders(*attempt);
    attempt->timer = std::make_unique<boost::asio::steady_timer>(this->io);
    this->ask_next(attempt);
}

void loan_client::choose_lenders(borrow_attempt& attempt)
{
    const std::shared_ptr<const member_list> known = this->options.members();
    if (known == nullptr) {
        return;
    }
    const std::shared_ptr<const std::vector<std::string>> in_contact = this->options.in_contact();
    lender_choice choice =
        this->book.choose(*known, in_contact == nullptr ? std::vector<std::string>{} : *in_contact,
                          attempt.workspace, clock::now());
    attempt.has_reached_lender = choice.has_recent_refusal;
    attempt.remaining_lenders = std::move(choice.lenders);
    std::reverse(attempt.remaining_lenders.begin(), attempt.remaining_lenders.end());
}

std::shared_ptr<upstream_connection> loan_client::connect(const member& lender, core::steady_time now)
{
    return this->pool.acquire(
        upstream{.id = lender.id, .service = {}, .address = lender.address, .port = lender.port}, now);
}

void loan_client::report(const outgoing_loan_report& pending, std::function<void()> on_not_sent)
{
    const std::shared_ptr<upstream_connection> connection = this->connect(pending.lender, clock::now());
    const request_message message =
        make_peer_call(pending.lender, loan_report_path,
                       make_loan_report({.borrower = this->options.borrower, .uses = pending.uses}));
    auto timer = std::make_shared<boost::asio::steady_timer>(this->io, answer_timeout);
    timer->async_wait([this, connection, lender = pending.lender.id](boost::system::error_code failure) {
        if (!failure) {
            connection->close(); // Does not call `on_end`.
            --this->reports_in_flight;
            core::log_event(core::log_level::warning, "loan_report_lost",
                            {{"lender", lender}, {"reason", "the lender did not answer in time"}});
        }
    });
    ++this->reports_in_flight;
    connection->send(
        message,
        upstream_hooks{.on_head = [](const response_head&) { return response_owner::this_request; },
                       .on_body = [](std::string_view) {},
                       .on_end =
                           [this, timer, connection, lender = pending.lender.id,
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
                               core::log_event(
                                   core::log_level::warning, "loan_report_lost",
                                   {{"lender", lender},
                                    {"reason", "the connection closed before the answer was complete"}});
                           }});
}

void loan_client::ask_next(const std::shared_ptr<borrow_attempt>& attempt)
{
    if (attempt->remaining_lenders.empty()) {
        attempt->on_loan(core::failure(attempt->has_reached_lender ? core::error_code::budget_unavailable
                                                                   : core::error_code::no_upstream,
                                       "no node lends budget of " + attempt->workspace));
        return;
    }
    const member lender = std::move(attempt->remaining_lenders.back());
    attempt->remaining_lenders.pop_back();
    attempt->is_answered = false;
    const core::steady_time now = clock::now();
    attempt->connection = this->connect(lender, now);
    attempt->timer->expires_after(answer_timeout);
    attempt->timer->async_wait([this, attempt, lender](boost::system::error_code failure) {
        if (!failure && !attempt->is_answered) {
            attempt->connection->close();
            this->on_answer(attempt, lender, {});
        }
    });
    const request_message call = make_peer_call(lender, loan_path,
                                                make_loan_call({.borrower = this->options.borrower,
                                                                .workspace = attempt->workspace,
                                                                .tokens = attempt->tokens}));
    auto received = std::make_shared<loan_answer>();
    attempt->connection->send(
        call, upstream_hooks{.on_head =
                                 [received](const response_head& head) {
                                     const std::string* const contact =
                                         find_header(head.headers, ledger_contact_header);
                                     received->status = head.status;
                                     received->has_ledger_contact = contact == nullptr || *contact != "no";
                                     return response_owner::this_request;
                                 },
                             .on_body = [](std::string_view) {},
                             .on_end =
                                 [this, attempt, lender, received](upstream_result result) {
                                     const bool is_complete = result == upstream_result::complete;
                                     this->on_answer(attempt, lender,
                                                     is_complete ? *received : loan_answer{});
                                 }});
}

void loan_client::on_answer(const std::shared_ptr<borrow_attempt>& attempt, const member& lender,
                            const loan_answer& answer)
{
    const unsigned status = answer.status;
    const core::steady_time now = clock::now();
    attempt->is_answered = true;
    attempt->timer->cancel();
    if (status != 0) {
        this->book.record_contact(lender.id, answer.has_ledger_contact, now);
        this->pool.release(lender.id, attempt->connection, now);
    }
    attempt->connection = nullptr;
    core::log_event(core::log_level::debug, "loan_answered",
                    {{"lender", lender.id},
                     {"workspace", attempt->workspace},
                     {"tokens", attempt->tokens},
                     {"status", status}});
    if (status == status_ok) {
        attempt->on_loan(loan{.lender = lender, .tokens = attempt->tokens});
        return;
    }
    if (status == status_exhausted) {
        attempt->on_loan(
            core::failure(core::error_code::budget_exhausted,
                          "the budget of " + attempt->workspace + " does not cover the request"));
        return;
    }
    if (status == 0) {
        this->book.record_silence(lender.id, now);
    }
    else {
        attempt->has_reached_lender = true;
        this->book.record_refusal(lender.id, attempt->workspace, now);
    }
    this->ask_next(attempt);
}

} // namespace samphireway::gateway
