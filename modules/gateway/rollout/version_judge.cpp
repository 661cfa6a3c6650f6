#include "gateway/rollout/version_judge.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace samphireway::gateway {

namespace {

// Limits of buckets grow by the square root of two, so this many buckets are a factor of two.
constexpr std::size_t tolerated_buckets = 2;

/** One way to count faults in a summary. Latencies above a limit are faults; the target's limit is higher. */
struct signal {
    std::string name;
    moves::histogram moves::summary::*latency = nullptr; ///< Null for failures.
    std::size_t limit = 0;

    moves::proportion count(const moves::summary& outcomes, bool is_target) const
    {
        if (this->latency == nullptr) {
            return {.faults = outcomes.errors, .total = outcomes.requests};
        }
        const moves::histogram& values = outcomes.*(this->latency);
        return {.faults = values.count_from(this->limit + (is_target ? tolerated_buckets : 0)),
                .total = values.count_from(0)};
    }
};

// Routes that one log line describes.
constexpr std::size_t described_routes = 4;

std::string to_text(const moves::proportion& value)
{
    return std::to_string(value.faults) + "/" + std::to_string(value.total);
}

/** Returns the upper limit in milliseconds of the bucket that holds the ninth decile. */
long long ninth_decile_ms(const moves::histogram& values)
{
    const std::uint64_t above = values.count_from(0) / 10;
    std::size_t index = moves::histogram::buckets - 1;
    while (index > 0 && values.count_from(index) <= above) {
        --index;
    }
    return std::llround(std::pow(2.0, static_cast<double>(index) / 2));
}

std::string describe(const moves::summary& outcomes)
{
    return to_text({.faults = outcomes.errors, .total = outcomes.requests}) + " p90 " +
           std::to_string(ninth_decile_ms(outcomes.first_token)) + " ms";
}

std::vector<signal> make_signals()
{
    std::vector<signal> signals{{.name = "errors"}};
    for (std::size_t limit = 1; limit + tolerated_buckets < moves::histogram::buckets; ++limit) {
        signals.push_back({.name = "first_output", .latency = &moves::summary::first_token, .limit = limit});
        signals.push_back({.name = "gap", .latency = &moves::summary::gap, .limit = limit});
    }
    return signals;
}

bool shows_without_each_upstream(const route_evidence& evidence, const signal& tested, double error_rate)
{
    const moves::proportion stable = tested.count(evidence.stable, false);
    return evidence.target.size() < 2 ||
           std::all_of(evidence.target.begin(), evidence.target.end(), [&](const auto& upstream) {
               const moves::proportion rest = tested.count(evidence.target_without(upstream.first), true);
               return moves::is_worse(stable, rest, error_rate);
           });
}

} // namespace

std::string to_string(const version_fault& fault)
{
    return fault.signal + " on " + (fault.route.empty() ? "all routes" : fault.route) + ": target " +
           to_text(fault.target) + ", stable " + to_text(fault.stable);
}

version_outcomes count_outcomes(const version_evidence& evidence)
{
    version_outcomes result;
    const auto all = evidence.routes.find(version_evidence::all_routes);
    if (all != evidence.routes.end()) {
        const moves::summary target = all->second.target_without("");
        result.stable = {.faults = all->second.stable.errors, .total = all->second.stable.requests};
        result.target = {.faults = target.errors, .total = target.requests};
        result.target_upstreams = all->second.target.size();
    }
    return result;
}

std::string describe_routes(const version_evidence& evidence)
{
    std::vector<std::pair<std::string, moves::summary>> routes;
    for (const auto& [route, outcomes] : evidence.routes) {
        if (route != version_evidence::all_routes) {
            routes.emplace_back(route, outcomes.target_without(""));
        }
    }
    std::sort(routes.begin(), routes.end(), [](const auto& left, const auto& right) {
        return left.second.requests > right.second.requests;
    });
    routes.resize(std::min(routes.size(), described_routes));
    std::string text;
    for (const auto& [route, target] : routes) {
        const moves::summary& stable = evidence.routes.at(route).stable;
        text += (text.empty() ? "" : "; ") + route + ": target " + describe(target) + ", stable " +
                describe(stable);
    }
    return text;
}

std::optional<version_fault> find_fault(const version_evidence& evidence, double error_rate)
{
    static const std::vector<signal> signals = make_signals();
    for (const auto& [route, outcomes] : evidence.routes) {
        const moves::summary target = outcomes.target_without("");
        for (const signal& tested : signals) {
            const moves::proportion old_faults = tested.count(outcomes.stable, false);
            const moves::proportion new_faults = tested.count(target, true);
            if (moves::is_worse(old_faults, new_faults, error_rate) &&
                shows_without_each_upstream(outcomes, tested, error_rate)) {
                return version_fault{
                    .route = route, .signal = tested.name, .stable = old_faults, .target = new_faults};
            }
        }
    }
    return std::nullopt;
}

} // namespace samphireway::gateway
