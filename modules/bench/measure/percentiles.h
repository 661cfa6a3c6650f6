#pragma once

#include <chrono>
#include <json/json.h>
#include <vector>

namespace samphireway::bench {

/** Returns a percentile (0 to 1) of the samples by nearest rank; zero without samples. */
std::chrono::microseconds percentile(std::vector<std::chrono::microseconds> samples, double fraction);

/** Returns the number of samples and their median, p95, p99 and maximum in microseconds. */
Json::Value summarize(const std::vector<std::chrono::microseconds>& samples);

} // namespace samphireway::bench
