#include "gateway/budget/loan_client.h"

#include <algorithm>

namespace samphireway::gateway {

namespace {

using std::chrono::milliseconds;
using clock = std::chrono::steady_clock;

// Two round trips between availability zones and a draw of the lender.
constexpr milliseconds answer_timeout{220};
constexpr milliseconds pause_after_refusal{1000};
// More would use up the requester's time; three of the nodes that are not known to be cut off suffice.
constexpr std::size_t maximum_lenders = 3;
constexpr unsigned status_ok = 200;
constexpr unsigned status_exhausted = 402;
constexpr std::int64_t maximum_loan = 100'000'000; ///< Tokens; a larger call is malformed.

std::string lender_account(const std::string& node, const std::string& workspace)
{
    return node + "/" + workspace;
}

} // namespace

/** One search for a lender. */
struct loan_client::loan {
    std::string workspace;
    std::int64_t tokens = 0;
    loan_handler on_loan;
    std::vector<member> left;
    std::shared_ptr<upstream_connection> connection;
    std::unique_ptr<boost::asio::steady_timer> timer;
    bool is_answered = false; ///< Of the current lender.
};

std::string make_loan_call(const std::string& workspace, std::int64_t tokens)
{
    Json::Value body;
    body["workspace"] = workspace;
    body["tokens"] = static_cast<Json::Int64>(tokens);
    return core::write_json(body);
}

core::result<loan_call> parse_loan_call(const std::string& body)
{
    const core::result<Json::Value> json = core::parse_json(body);
    if (!json || !json->isObject()) {
        return core::failure(core::error_code::invalid_argument, "the loan call is not a JSON object");
    }
    loan_call call{.workspace = core::string_member(*json, "workspace"),
                   .tokens = core::integer_member(*json, "tokens")};
    if (call.workspace.empty() || call.tokens <= 0 || call.tokens > maximum_loan) {
        return core::failure(core::error_code::invalid_argument, "the loan call lacks workspace or tokens");
    }
    return call;
}

loan_client::loan_client(boost::asio::io_context& context, loan_client_options given)
    : io(context), options(std::move(given)), pool(context)
{
}

void loan_client::borrow(const std::string& workspace, std::int64_t tokens, loan_handler on_loan)
{
    auto asked = std::make_shared<loan>();
    asked->workspace = workspace;
    asked->tokens = tokens;
    asked->on_loan = std::move(on_loan);
    asked->left = this->lenders(workspace, clock::now());
    asked->timer = std::make_unique<boost::asio::steady_timer>(this->io);
    this->ask_next(asked);
}

std::vector<member> loan_client::lenders(const std::string& workspace, core::steady_time now)
{
    ++this->asked_count;
    const std::shared_ptr<const member_list> known = this->options.members();
    std::vector<std::pair<std::uint64_t, member>> ranked;
    for (const member& entry : known == nullptr ? std::vector<member>{} : known->members) {
        const bool is_refusing = now < this->refused_until[entry.id] ||
                                 now < this->refused_until[lender_account(entry.id, workspace)];
        if (entry.id != this->options.node && !is_refusing) {
            ranked.emplace_back(core::hash64(entry.id + std::to_string(this->asked_count)), entry);
        }
    }
    std::sort(ranked.begin(), ranked.end(),
              [](const auto& left, const auto& right) { return left.first < right.first; });
    std::vector<member> chosen;
    for (std::size_t index = 0; index < std::min(ranked.size(), maximum_lenders); ++index) {
        chosen.push_back(std::move(ranked[index].second));
    }
    return chosen;
}

void loan_client::ask_next(const std::shared_ptr<loan>& asked)
{
    if (asked->left.empty()) {
        asked->on_loan(core::failure(core::error_code::budget_unavailable,
                                     "no node lends budget of " + asked->workspace));
        return;
    }
    const member lender = std::move(asked->left.back());
    asked->left.pop_back();
    asked->is_answered = false;
    const core::steady_time now = clock::now();
    asked->connection = this->pool.acquire(
        upstream{.id = lender.id, .service = {}, .address = lender.address, .port = lender.port}, now);
    asked->timer->expires_after(answer_timeout);
    asked->timer->async_wait([this, asked, lender](boost::system::error_code failure) {
        if (!failure && !asked->is_answered) {
            asked->connection->close();
            this->on_answer(asked, lender, 0);
        }
    });
    const request_message call{.method = "POST",
                               .target = loan_path,
                               .headers = {{"Host", lender.address},
                                           {"Authorization", "Bearer " + lender.token},
                                           {"Content-Type", "application/json"}},
                               .body = make_loan_call(asked->workspace, asked->tokens)};
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

void loan_client::on_answer(const std::shared_ptr<loan>& asked, const member& lender, unsigned status)
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
        asked->on_loan(asked->tokens);
        return;
    }
    if (status == status_exhausted) {
        asked->on_loan(core::failure(core::error_code::budget_exhausted,
                                     "the budget of " + asked->workspace + " does not cover the request"));
        return;
    }
    const std::string refused = status == 0 ? lender.id : lender_account(lender.id, asked->workspace);
    this->refused_until[refused] = clock::now() + pause_after_refusal;
    this->ask_next(asked);
}

} // namespace samphireway::gateway
