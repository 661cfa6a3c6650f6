#include "moves/evidence/summary.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>

namespace samphireway::moves {

namespace {

constexpr double first_limit_us = 1000;

std::size_t bucket_of(std::chrono::microseconds latency) noexcept
{
    const double ratio = static_cast<double>(latency.count()) / first_limit_us;
    if (ratio <= 1) {
        return 0;
    }
    const auto index = static_cast<std::size_t>(std::ceil(2 * std::log2(ratio)));
    return std::min(index, histogram::buckets - 1);
}

Json::Value histogram_to_json(const histogram& value)
{
    Json::Value json(Json::objectValue);
    for (std::size_t index = 0; index < histogram::buckets; ++index) {
        if (value.counts.at(index) > 0) {
            json[std::to_string(index)] = value.counts.at(index);
        }
    }
    return json;
}

std::uint32_t count_member(const Json::Value& json, const char* name)
{
    const std::int64_t count = core::integer_member(json, name);
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(count, 0, std::numeric_limits<std::uint32_t>::max()));
}

histogram histogram_from_json(const Json::Value& json)
{
    histogram value;
    if (!json.isObject()) {
        return value;
    }
    for (const std::string& name : json.getMemberNames()) {
        std::size_t index = histogram::buckets;
        std::from_chars(name.data(), name.data() + name.size(), index);
        if (index < histogram::buckets) {
            value.counts.at(index) = count_member(json, name.c_str());
        }
    }
    return value;
}

} // namespace

void histogram::add(std::chrono::microseconds latency) noexcept
{
    ++this->counts.at(bucket_of(latency));
}

void histogram::merge(const histogram& other) noexcept
{
    for (std::size_t index = 0; index < buckets; ++index) {
        this->counts.at(index) += other.counts.at(index);
    }
}

std::uint64_t histogram::count_from(std::size_t first) const noexcept
{
    std::uint64_t count = 0;
    for (std::size_t index = first; index < buckets; ++index) {
        count += this->counts.at(index);
    }
    return count;
}

void summary::add(const sample& observed) noexcept
{
    ++this->requests;
    this->errors += observed.is_error ? 1 : 0;
    this->empty_answers += observed.is_empty ? 1 : 0;
    if (observed.first_token.count() > 0) {
        this->first_token.add(observed.first_token);
    }
    if (observed.mean_gap.count() > 0) {
        this->gap.add(observed.mean_gap);
    }
    if (observed.slowdown > 0) {
        const double scaled = observed.slowdown * static_cast<double>(slowdown_unit.count());
        this->slowdown.add(std::chrono::microseconds(std::llround(scaled)));
    }
}

void summary::merge(const summary& other) noexcept
{
    this->requests += other.requests;
    this->errors += other.errors;
    this->empty_answers += other.empty_answers;
    this->first_token.merge(other.first_token);
    this->gap.merge(other.gap);
    this->slowdown.merge(other.slowdown);
}

Json::Value to_json(const summary& value)
{
    Json::Value json(Json::objectValue);
    json["requests"] = value.requests;
    json["errors"] = value.errors;
    json["empty"] = value.empty_answers;
    json["first_token"] = histogram_to_json(value.first_token);
    json["gap"] = histogram_to_json(value.gap);
    json["slowdown"] = histogram_to_json(value.slowdown);
    return json;
}

summary summary_from_json(const Json::Value& json)
{
    summary value;
    if (!json.isObject()) {
        return value;
    }
    value.requests = count_member(json, "requests");
    value.errors = count_member(json, "errors");
    value.empty_answers = count_member(json, "empty");
    value.first_token = histogram_from_json(json["first_token"]);
    value.gap = histogram_from_json(json["gap"]);
    value.slowdown = histogram_from_json(json["slowdown"]);
    return value;
}

} // namespace samphireway::moves
