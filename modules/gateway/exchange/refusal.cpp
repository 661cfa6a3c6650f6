#include "gateway/exchange/refusal.h"

#include <algorithm>
#include <array>

namespace samphireway::gateway {

namespace {

constexpr std::array<unsigned, 4> not_run_statuses{408, 421, 429, 503};

/** Returns a duration in seconds with three decimal places. */
std::string format_seconds(std::chrono::milliseconds duration)
{
    constexpr std::int64_t per_second = 1000;
    const std::string thousandths = std::to_string(per_second + duration.count() % per_second).substr(1);
    return std::to_string(duration.count() / per_second) + "." + thousandths;
}

} // namespace

bool promises_not_run(unsigned status)
{
    return std::find(not_run_statuses.begin(), not_run_statuses.end(), status) != not_run_statuses.end();
}

response_head make_refusal_head(const core::error& cause, std::chrono::milliseconds advice)
{
    response_head head{.status = static_cast<unsigned>(core::http_status(cause.code)), .reason = {}};
    head.headers.emplace_back("Content-Type", "application/json");
    head.headers.emplace_back("Samphireway-Verdict", std::string(core::to_string(cause.run)));
    if (promises_not_run(head.status)) {
        head.headers.emplace_back("Retry-After", format_seconds(advice));
    }
    return head;
}

std::string make_refusal_body(const core::error& cause)
{
    Json::Value body;
    body["error"]["code"] = std::string(core::to_string(cause.code));
    body["error"]["message"] = cause.message;
    body["error"]["verdict"] = std::string(core::to_string(cause.run));
    return core::write_json(body);
}

} // namespace samphireway::gateway
