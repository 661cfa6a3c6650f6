#include "gateway/budget/loan_messages.h"

namespace samphireway::gateway {

namespace {

constexpr std::int64_t maximum_loan = 100'000'000; ///< Tokens; a larger call is malformed.

bool is_amount(std::int64_t tokens)
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
    if (call.borrower.empty() || call.workspace.empty() || call.tokens <= 0 || !is_amount(call.tokens)) {
        return core::failure(core::error_code::invalid_argument,
                             "the loan call lacks borrower, workspace or tokens");
    }
    return call;
}

std::string make_loan_report(const loan_report& report)
{
    Json::Value body;
    body["borrower"] = report.borrower;
    body["uses"] = Json::Value(Json::arrayValue);
    for (const loan_use& use : report.uses) {
        Json::Value part;
        part["workspace"] = use.workspace;
        part["used"] = static_cast<Json::Int64>(use.used);
        part["returned"] = static_cast<Json::Int64>(use.returned);
        body["uses"].append(std::move(part));
    }
    return core::write_json(body);
}

core::result<loan_report> parse_loan_report(const std::string& body)
{
    const core::result<Json::Value> json = core::parse_json(body);
    if (!json || !json->isObject() || !(*json)["uses"].isArray()) {
        return core::failure(core::error_code::invalid_argument, "the loan report has no list of uses");
    }
    loan_report report{.borrower = core::string_member(*json, "borrower"), .uses = {}};
    if (report.borrower.empty()) {
        return core::failure(core::error_code::invalid_argument, "the loan report lacks the borrower");
    }
    for (const Json::Value& part : (*json)["uses"]) {
        if (!part.isObject()) {
            return core::failure(core::error_code::invalid_argument, "a use is not a JSON object");
        }
        loan_use use{.workspace = core::string_member(part, "workspace"),
                     .used = core::integer_member(part, "used"),
                     .returned = core::integer_member(part, "returned")};
        if (use.workspace.empty() || !is_amount(use.used) || !is_amount(use.returned)) {
            return core::failure(core::error_code::invalid_argument, "a use lacks workspace or amounts");
        }
        report.uses.push_back(std::move(use));
    }
    return report;
}

} // namespace samphireway::gateway
