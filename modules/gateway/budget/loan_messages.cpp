#include "gateway/budget/loan_messages.h"

namespace samphireway::gateway {

namespace {

constexpr std::int64_t maximum_loan = 100'000'000; ///< Tokens; a larger number is rejected as malformed.

bool is_valid_amount(std::int64_t tokens)
{
    return tokens >= 0 && tokens <= maximum_loan;
}

} // namespace

std::string make_loan_call(const loan_call& call)
{
    Json::Value body;
    body["borrower"] = call.borrower;
    body["workspace"] = call.workspace;
    body["tokens"] = static_cast<Json::Int64>(call.tokens);
    return core::write_json(body);
}

core::result<loan_call> parse_loan_call(const std::string& body)
{
    const core::result<Json::Value> json = core::parse_json(body);
    if (!json || !json->isObject()) {
        return core::failure(core::error_code::invalid_argument, "the loan call is not a JSON object");
    }
    loan_call call{.borrower = core::string_member(*json, "borrower"),
                   .workspace = core::string_member(*json, "workspace"),
                   .tokens = core::integer_member(*json, "tokens")};
    if (call.borrower.empty() || call.workspace.empty() || call.tokens <= 0 ||
        !is_valid_amount(call.tokens)) {
        return core::failure(core::error_code::invalid_argument,
                             "the loan call lacks a borrower, a workspace or a valid number of tokens");
    }
    return call;
}

std::string make_loan_report(const loan_report& report)
{
    Json::Value body;
    body["borrower"] = report.borrower;
    body["uses"] = Json::Value(Json::arrayValue);
    for (const loan_use& use : report.uses) {
        Json::Value entry;
        entry["workspace"] = use.workspace;
        entry["used"] = static_cast<Json::Int64>(use.used);
        entry["returned"] = static_cast<Json::Int64>(use.returned);
        body["uses"].append(std::move(entry));
    }
    return core::write_json(body);
}

core::result<loan_report> parse_loan_report(const std::string& body)
{
    const core::result<Json::Value> json = core::parse_json(body);
    if (!json || !json->isObject() || !(*json)["uses"].isArray()) {
        return core::failure(core::error_code::invalid_argument,
                             "the loan report is not a JSON object with a list of uses");
    }
    loan_report report{.borrower = core::string_member(*json, "borrower"), .uses = {}};
    if (report.borrower.empty()) {
        return core::failure(core::error_code::invalid_argument, "the loan report names no borrower");
    }
    for (const Json::Value& entry : (*json)["uses"]) {
        if (!entry.isObject()) {
            return core::failure(core::error_code::invalid_argument,
                                 "an entry of the loan report is not a JSON object");
        }
        loan_use use{.workspace = core::string_member(entry, "workspace"),
                     .used = core::integer_member(entry, "used"),
                     .returned = core::integer_member(entry, "returned")};
        if (use.workspace.empty() || !is_valid_amount(use.used) || !is_valid_amount(use.returned)) {
            return core::failure(core::error_code::invalid_argument,
                                 "an entry of the loan report lacks a workspace or a valid number of tokens");
        }
        report.uses.push_back(std::move(use));
    }
    return report;
}

} // namespace samphireway::gateway
