#include "gateway/budget/loan_client.h"

#include <algorithm>

namespace samphireway::gateway {

namespace {

using std::chrono::milliseconds;
using clock = std::chrono::steady_clock;

// Covers two round trips between availability zones and a draw by the lender.
constexpr milliseconds answer_timeout{220};
constexpr milliseconds pause_after_no_answer{1000};
// Within this time a lender that lacked budget of a workspace has drawn again, if it can.
constexpr milliseconds pause_after_refusal{300};
// Asking more lenders would use up the requester's time. Lenders that recently did not answer are
// skipped, so three are enough.
constexpr std::size_t maximum_lenders = 3;
constexpr unsigned status_ok = 200;
constexpr unsigned status_exhausted = 402;

std::string lender_workspace_key(const std::string& node, const std::string& workspace)
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
    : io(context_to_use), options(std::move(options_to_use)), pool(context_to_use)
{
}

void loan_client::borrow(const std::string& workspace, std::int64_t tokens, loan_handler on_loan)
{
    auto attempt = std::make_shared<borrow_attempt>();
    attempt->workspace = workspace;
    attempt->tokens = tokens;
    attempt->on_loan = std::move(on_loan);
    attempt->remaining_lenders = this->choose_lenders(*attempt, clock::now());
    attempt->timer = std::make_unique<boost::asio::steady_timer>(this->io);
    this->ask_next(attempt);
}

std::vector<member> loan_client::choose_lenders(borrow_attempt& attempt, core::steady_time now)
{
    const std::shared_ptr<const member_list> known = this->options.members();
    std::vector<std::pair<std::uint64_t, member>> ranked;
    for (const member& entry : known == nullptr ? std::vector<member>{} : known->ledger_writers) {
        const bool is_silent = now < this->skipped_until[entry.id];
        const bool is_short = now < this->skipped_until[lender_workspace_key(entry.id, attempt.workspace)];
        attempt.has_reached_lender = attempt.has_reached_lender || is_short;
        if (entry.id != this->options.node && !is_silent && !is_short) {
            // Each borrower prefers the same lenders, so its leftover tokens come from few loans and its
            // reports go to few nodes.
            ranked.emplace_back(core::hash64(entry.id + this->options.node), entry);
        }
    }
    std::sort(ranked.begin(), ranked.end(),
              [](const auto& left, const auto& right) { return left.first < right.first; });
    std::vector<member> chosen;
    for (std::size_t index = std::min(ranked.size(), maximum_lenders); index-- > 0;) {
        chosen.push_back(std::move(ranked[index].second)); // The preferred lender comes last.
    }
    return chosen;
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
        make_message(pending.lender, loan_report_path,
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
            this->on_answer(attempt, lender, 0);
        }
    });
    const request_message call = make_message(lender, loan_path,
                                              make_loan_call({.borrower = this->options.borrower,
                                                              .workspace = attempt->workspace,
                                                              .tokens = attempt->tokens}));
    auto status = std::make_shared<unsigned>(0);
    attempt->connection->send(
        call, upstream_hooks{.on_head =
                                 [status](const response_head& head) {
                                     *status = head.status;
                                     return response_owner::this_request;
                                 },
                             .on_body = [](std::string_view) {},
                             .on_end =
                                 [this, attempt, lender, status](upstream_result result) {
                                     const bool is_complete = result == upstream_result::complete;
                                     this->on_answer(attempt, lender, is_complete ? *status : 0);
                                 }});
}

void loan_client::on_answer(const std::shared_ptr<borrow_attempt>& attempt, const member& lender,
                            unsigned status)
{
    attempt->is_answered = true;
    attempt->timer->cancel();
    if (status == status_ok || status == status_exhausted) {
        this->pool.release(lender.id, attempt->connection, clock::now());
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
        this->skipped_until[lender.id] = clock::now() + pause_after_no_answer;
    }
    else {
        attempt->has_reached_lender = true;
        this->skipped_until[lender_workspace_key(lender.id, attempt->workspace)] =
            clock::now() + pause_after_refusal;
    }
    this->ask_next(attempt);
}

} // namespace samphireway::gateway
