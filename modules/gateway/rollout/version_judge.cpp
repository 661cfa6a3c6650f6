#include "gateway/rollout/version_judge.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace samphireway::gateway {

namespace {

// Probability that one upstream of a sound version is faulty, which must not be taken for the version.
constexpr double single_upstream_prior = 0.1;

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

/** Logarithms of likelihood ratios of each fault model, over all routes and by route. */
struct route_ratios {
    std::vector<double> all = std::vector<double>(moves::fault_models().size(), 0);
    std::map<std::string, std::vector<double>> by_route;

    void add(const std::string& route, const std::vector<double>& ratios)
    {
        std::vector<double>& of_route = this->by_route[route];
        of_route.resize(ratios.size(), 0);
        for (std::size_t index = 0; index < ratios.size(); ++index) {
            this->all[index] += ratios[index];
            of_route[index] += ratios[index];
        }
    }

    /** Returns the evidence for a fault of all routes or of any single one, which are equally likely. */
    double weigh() const
    {
        if (this->by_route.empty()) {
            return 0;
        }
        const double routes = static_cast<double>(this->by_route.size());
        double sum = moves::log_mixture(this->all) + std::log(0.5);
        for (const auto& [route, ratios] : this->by_route) {
            sum = moves::log_sum(sum, moves::log_mixture(ratios) + std::log(0.5 / routes));
        }
        return sum;
    }
};

/** Evidence of one period. */
struct period_ratios {
    route_ratios version;
    std::map<std::string, route_ratios> upstreams;

    /** Returns the evidence for a fault of the version against none or that of a single upstream. */
    double weigh() const
    {
        const double result = this->version.weigh();
        if (this->upstreams.size() < 2) {
            return result;
        }
        double otherwise = std::log(1 - single_upstream_prior);
        for (const auto& [upstream, ratios] : this->upstreams) {
            const double prior = single_upstream_prior / static_cast<double>(this->upstreams.size());
            otherwise = moves::log_sum(otherwise, ratios.weigh() + std::log(prior));
        }
        return result - otherwise;
    }
};

period_ratios compare(const version_evidence& period, const version_evidence& whole)
{
    period_ratios result;
    for (const auto& [route, outcomes] : period.routes) {
        if (route == version_evidence::all_routes || outcomes.target.empty()) {
            continue;
        }
        const moves::outcome_reference reference(outcomes.stable, whole.routes.at(route).stable);
        for (const auto& [upstream, observed] : outcomes.target) {
            if (observed.requests > 0) {
                const std::vector<double> ratios = reference.log_ratios(observed);
                result.version.add(route, ratios);
                result.upstreams[upstream].add(route, ratios);
            }
        }
    }
    return result;
}

std::size_t best_model(const std::vector<double>& ratios)
{
    return static_cast<std::size_t>(std::max_element(ratios.begin(), ratios.end()) - ratios.begin());
}

version_fault find_likeliest(const route_ratios& ratios, const version_evidence& period)
{
    std::string route = version_evidence::all_routes;
    std::vector<double> best = ratios.all;
    for (const auto& [name, of_route] : ratios.by_route) {
        if (of_route[best_model(of_route)] > best[best_model(best)]) {
            route = name;
            best = of_route;
        }
    }
    version_fault fault{.route = route, .model = moves::fault_models()[best_model(best)]};
    const auto found = period.routes.find(route);
    if (found != period.routes.end()) {
        const moves::summary target = found->second.target_without("");
        fault.stable = {.faults = found->second.stable.errors, .total = found->second.stable.requests};
        fault.target = {.faults = target.errors, .total = target.requests};
    }
    return fault;
}
} // namespace

std::string to_string(const version_fault& fault)
{
    const std::string percent = std::to_string(std::lround(100 * fault.model.portion));
    const std::string where = fault.route.empty() ? "all routes" : fault.route;
    const std::string counts =
        ": target " + to_text(fault.target) + " failed, stable " + to_text(fault.stable);
    if (fault.model.signal == moves::fault_signal::failure) {
        return "errors on " + where + counts;
    }
    const std::string name = fault.model.signal == moves::fault_signal::gap ? "gap" : "first_output";
    const long long factor_percent =
        std::llround(100 * std::pow(2.0, static_cast<double>(fault.model.slower_by) / 2));
    return name + " " + std::to_string(factor_percent) + "% for " + percent + "% on " + where + counts;
}

version_assessment assess_version(const version_evidence& whole, const std::vector<version_evidence>& recent)
{
    version_assessment result{.log_evidence = -std::numeric_limits<double>::infinity()};
    double best = result.log_evidence;
    const auto add = [&](const version_evidence& period, double weight) {
        const period_ratios ratios = compare(period, whole);
        const double evidence = ratios.weigh();
        result.log_evidence = moves::log_sum(result.log_evidence, evidence + std::log(weight));
        if (evidence > best) {
            best = evidence;
            result.likeliest = find_likeliest(ratios.version, period);
        }
    };
    add(whole, recent.empty() ? 1 : 0.5);
    for (const version_evidence& period : recent) {
        add(period, 0.5 / static_cast<double>(recent.size()));
    }
    return result;
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

} // namespace samphireway::gateway
