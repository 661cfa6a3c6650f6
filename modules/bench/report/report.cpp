#include "bench/report/report.h"

#include "bench/measure/percentiles.h"

#include <algorithm>
#include <cstdio>

namespace samphireway::bench {

namespace {

using std::chrono::microseconds;

constexpr double microseconds_per_second = 1e6;

double per_second(std::int64_t count, microseconds elapsed)
{
    return elapsed.count() == 0
               ? 0
               : static_cast<double>(count) * microseconds_per_second / static_cast<double>(elapsed.count());
}

Json::Value count_ends(const load_outcome& outcome)
{
    Json::Value json(Json::objectValue);
    for (std::size_t index = 0; index < request_ends; ++index) {
        const auto end = static_cast<request_end>(index);
        json[std::string(to_string(end))] =
            static_cast<Json::Int64>(std::count_if(outcome.results.begin(), outcome.results.end(),
                                                   [end](const auto& result) { return result.end == end; }));
    }
    return json;
}

Json::Value kind_json(const load_outcome& outcome, request_kind kind)
{
    std::vector<microseconds> first_tokens;
    std::vector<microseconds> totals;
    std::vector<microseconds> gaps;
    for (const request_result& result : outcome.results) {
        if (result.kind == kind && result.end == request_end::whole) {
            first_tokens.push_back(result.first_token);
            totals.push_back(result.total);
            gaps.push_back(result.longest_gap);
        }
    }
    Json::Value json(Json::objectValue);
    json["first_token"] = summarize(first_tokens);
    json["total"] = summarize(totals);
    json["longest_gap"] = summarize(gaps);
    return json;
}

Json::Value outcome_json(const load_outcome& outcome)
{
    Json::Value json(Json::objectValue);
    json["requests"] = static_cast<Json::UInt64>(outcome.results.size());
    json["seconds"] = static_cast<double>(outcome.elapsed.count()) / microseconds_per_second;
    json["ends"] = count_ends(outcome);
    json["answers_per_second"] = per_second(json["ends"]["whole"].asInt64(), outcome.elapsed);
    json["not_sent"] = static_cast<Json::UInt64>(outcome.not_sent);
    json["peak_open"] = static_cast<Json::UInt64>(outcome.peak_open);
    std::vector<microseconds> lags;
    json["refusals"] = Json::Value(Json::objectValue);
    std::int64_t false_refusals = 0;
    for (const request_result& result : outcome.results) {
        lags.push_back(result.start_lag);
        false_refusals += result.is_false_refusal ? 1 : 0;
        if (result.end == request_end::refused) {
            Json::Value& count = json["refusals"][result.code + "/" + result.verdict];
            count = count.asInt64() + 1;
        }
    }
    json["false_refusals"] = static_cast<Json::Int64>(false_refusals);
    json["start_lag"] = summarize(lags);
    for (std::size_t index = 0; index < request_kinds; ++index) {
        const auto kind = static_cast<request_kind>(index);
        const Json::Value figures = kind_json(outcome, kind);
        if (figures["total"]["count"].asUInt64() > 0) {
            json["kinds"][std::string(to_string(kind))] = figures;
        }
    }
    return json;
}

Json::Value budget_json(const experiment_result& result)
{
    std::int64_t billed = 0;
    std::int64_t over_limit = 0;
    for (const auto& [plan, after] : result.budgets_after) {
        const auto before = result.budgets_before.find(plan);
        billed += after.spent - (before == result.budgets_before.end() ? 0 : before->second.spent);
        over_limit += std::max<std::int64_t>(0, after.spent - after.limit);
    }
    const std::int64_t used = result.after.engine_tokens - result.before.engine_tokens;
    Json::Value json(Json::objectValue);
    json["plans_read"] = static_cast<Json::UInt64>(result.budgets_after.size());
    json["billed_tokens"] = static_cast<Json::Int64>(billed);
    json["engine_tokens"] = static_cast<Json::Int64>(used);
    json["billed_minus_engine_tokens"] = static_cast<Json::Int64>(billed - used);
    json["overspend_tokens"] = static_cast<Json::Int64>(over_limit);
    return json;
}

Json::Value node_json(const experiment_result& result)
{
    const auto requests = static_cast<std::int64_t>(result.routed.results.size());
    const std::int64_t resident_growth =
        result.usage.resident_bytes_peak - result.usage.resident_bytes_before;
    const auto open = static_cast<std::int64_t>(result.routed.peak_open);
    Json::Value json(Json::objectValue);
    json["cores_used"] =
        per_second(result.usage.processor_time.count(), result.counting_time) / microseconds_per_second;
    json["processor_us_per_request"] =
        static_cast<Json::Int64>(requests == 0 ? 0 : result.usage.processor_time.count() / requests);
    json["resident_bytes_before"] = static_cast<Json::Int64>(result.usage.resident_bytes_before);
    json["resident_bytes_peak"] = static_cast<Json::Int64>(result.usage.resident_bytes_peak);
    json["bytes_per_open_request"] = static_cast<Json::Int64>(open == 0 ? 0 : resident_growth / open);
    return json;
}

/** Returns by how much the router raises each percentile of the time to the first token, in microseconds, for
    each kind of request that both runs have. */
Json::Value added_latency_json(const Json::Value& routed, const Json::Value& baseline)
{
    Json::Value json(Json::objectValue);
    for (const std::string& kind : routed.getMemberNames()) {
        for (const char* const name : {"median_us", "p95_us", "p99_us"}) {
            if (baseline.isMember(kind)) {
                json[kind][name] = routed[kind]["first_token"][name].asInt64() -
                                   baseline[kind]["first_token"][name].asInt64();
            }
        }
    }
    return json;
}

void append_text(std::string& text, const std::string& path, const Json::Value& value)
{
    if (value.isObject()) {
        for (const std::string& name : value.getMemberNames()) {
            std::string member = path;
            member.append(path.empty() ? "" : ".").append(name);
            append_text(text, member, value[name]);
        }
        return;
    }
    constexpr std::size_t value_column = 52;
    std::string line = path;
    line.resize(std::max(value_column, line.size() + 1), ' ');
    text += line + (value.isString() ? value.asString() : core::write_json(value)) + "\n";
}

} // namespace

Json::Value report_json(const load_options& options, const experiment_result& result)
{
    Json::Value json(Json::objectValue);
    json["load"]["seed"] = static_cast<Json::UInt64>(options.seed);
    json["load"]["requests_per_second"] = options.requests_per_second;
    json["load"]["connections"] = static_cast<Json::UInt64>(options.connections);
    json["load"]["nodes"] = static_cast<Json::UInt64>(options.nodes.size());
    json["routed"] = outcome_json(result.routed);
    if (result.baseline) {
        json["baseline"] = outcome_json(*result.baseline);
        json["added_to_first_token"] = added_latency_json(json["routed"]["kinds"], json["baseline"]["kinds"]);
    }
    json["budget"] = budget_json(result);
    json["node"] = node_json(result);
    json["platform"]["reads_per_second"] =
        per_second(result.after.platform_reads - result.before.platform_reads, result.counting_time);
    json["platform"]["writes_per_second"] =
        per_second(result.after.platform_writes - result.before.platform_writes, result.counting_time);
    json["machine"]["load_average"] = result.load_average;
    json["engines"]["out_of_memory"] =
        static_cast<Json::Int64>(result.after.out_of_memory - result.before.out_of_memory);
    json["engines"]["peak_running"] = static_cast<Json::Int64>(result.after.peak_running);
    return json;
}

std::string report_text(const Json::Value& report)
{
    std::string text;
    append_text(text, "", report);
    return text;
}

} // namespace samphireway::bench
