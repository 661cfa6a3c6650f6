#include "gateway/rollout/rollout_messages.h"

#include <algorithm>

namespace samphireway::gateway {

namespace {

using std::chrono::milliseconds;

// Longer ages make no difference; the bound keeps sums of times in range.
constexpr milliseconds maximum_age{std::chrono::hours(24 * 365)};

milliseconds read_age(const Json::Value& json)
{
    return std::clamp(milliseconds(core::integer_member(json, "age_ms")), milliseconds(0), maximum_age);
}

} // namespace

std::string make_rollout_report(const rollout_report& report)
{
    Json::Value json;
    json["process"] = report.process;
    json["service"] = report.service;
    json["target"] = report.target;
    json["age_ms"] = static_cast<Json::Int64>(report.age.count());
    json["bad"] = report.is_bad;
    json["stable_in_flight"] = static_cast<Json::Int64>(report.stable_in_flight);
    json["evidence"] = to_json(report.evidence);
    return core::write_json(json);
}

core::result<rollout_report> parse_rollout_report(const std::string& body)
{
    const core::result<Json::Value> json = core::parse_json(body);
    if (!json || !json->isObject()) {
        return core::failure(core::error_code::invalid_argument, "the report is not a JSON object");
    }
    core::result<version_evidence> evidence = version_evidence_from_json((*json)["evidence"]);
    if (!evidence) {
        return tl::unexpected(evidence.error());
    }
    rollout_report report{.process = core::string_member(*json, "process"),
                          .service = core::string_member(*json, "service"),
                          .target = core::string_member(*json, "target"),
                          .age = read_age(*json),
                          .is_bad = core::boolean_member(*json, "bad"),
                          .stable_in_flight = core::integer_member(*json, "stable_in_flight"),
                          .evidence = std::move(*evidence)};
    if (report.process.empty() || report.service.empty() || report.target.empty()) {
        return core::failure(core::error_code::invalid_argument,
                             "the report lacks its process, its service or its target");
    }
    return report;
}

std::string make_rollout_answer(const rollout_answer& answer)
{
    Json::Value json;
    json["age_ms"] = static_cast<Json::Int64>(answer.age.count());
    json["bad"] = answer.is_bad;
    return core::write_json(json);
}

core::result<rollout_answer> parse_rollout_answer(const std::string& body)
{
    const core::result<Json::Value> json = core::parse_json(body);
    if (!json || !json->isObject()) {
        return core::failure(core::error_code::invalid_argument, "the answer is not a JSON object");
    }
    return rollout_answer{.age = read_age(*json), .is_bad = core::boolean_member(*json, "bad")};
}

} // namespace samphireway::gateway
