#include "bench/measure/percentiles.h"

#include <algorithm>
#include <cmath>

namespace samphireway::bench {

std::chrono::microseconds percentile(std::vector<std::chrono::microseconds> samples, double fraction)
{
    if (samples.empty()) {
        return std::chrono::microseconds(0);
    }
    const double rank = std::ceil(fraction * static_cast<double>(samples.size()));
    const auto index = static_cast<std::size_t>(std::max(rank, 1.0)) - 1;
    const auto position = samples.begin() + static_cast<std::ptrdiff_t>(std::min(index, samples.size() - 1));
    std::nth_element(samples.begin(), position, samples.end());
    return *position;
}

Json::Value summarize(const std::vector<std::chrono::microseconds>& samples)
{
    constexpr double median = 0.5;
    constexpr double p95 = 0.95;
    constexpr double p99 = 0.99;
    Json::Value json(Json::objectValue);
    json["count"] = static_cast<Json::UInt64>(samples.size());
    json["median_us"] = static_cast<Json::Int64>(percentile(samples, median).count());
    json["p95_us"] = static_cast<Json::Int64>(percentile(samples, p95).count());
    json["p99_us"] = static_cast<Json::Int64>(percentile(samples, p99).count());
    json["maximum_us"] = static_cast<Json::Int64>(percentile(samples, 1).count());
    return json;
}

} // namespace samphireway::bench
