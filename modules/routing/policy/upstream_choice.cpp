#include "routing/policy/upstream_choice.h"

#include <algorithm>
#include <tuple>

namespace samphireway::routing {

namespace {

bool matches(const std::string& pattern, const std::string& value)
{
    return pattern == "*" || pattern == value;
}

bool is_allowed(const std::vector<configuration::access_entry>& access, const std::string& upstream,
                const configuration::served_model& served)
{
    return std::any_of(access.begin(), access.end(), [&](const configuration::access_entry& entry) {
        return entry.model == served.model && matches(entry.upstream, upstream) &&
               matches(entry.version, served.version);
    });
}

} // namespace

std::vector<candidate> list_candidates(const configuration::snapshot& configuration,
                                       const route_request& request)
{
    std::vector<candidate> candidates;
    const std::vector<configuration::access_entry>* access = configuration.find_access(request.plan);
    if (access == nullptr) {
        return candidates;
    }
    for (const auto& [id, upstream] : configuration.upstreams->upstreams) {
        if (upstream.is_leaving || request.excluded.contains(id)) {
            continue;
        }
        for (const configuration::served_model& served : upstream.models) {
            if (served.model == request.model && is_allowed(*access, id, served)) {
                candidates.push_back(candidate{.upstream = &upstream, .version = served.version});
            }
        }
    }
    return candidates;
}

std::vector<upstream_choice> rank_candidates(std::vector<candidate> candidates, const route_request& request,
                                             const routing_policy& policy)
{
    std::sort(candidates.begin(), candidates.end(), [](const candidate& left, const candidate& right) {
        return std::make_tuple(!left.has_capacity, left.in_flight) <
               std::make_tuple(!right.has_capacity, right.in_flight);
    });
    constexpr std::ptrdiff_t policy_picks = 2;
    const auto first_full = std::find_if(candidates.begin(), candidates.end(),
                                         [](const candidate& entry) { return !entry.has_capacity; });
    const auto offered_end = first_full != candidates.begin() ? first_full : candidates.end();
    const std::ptrdiff_t offered_count = offered_end - candidates.begin();
    for (std::ptrdiff_t pick = 0; pick < std::min(policy_picks, offered_count); ++pick) {
        const auto head = candidates.begin() + pick;
        const std::vector<candidate> offered(head, offered_end);
        const auto picked = head + static_cast<std::ptrdiff_t>(policy(offered, request));
        std::rotate(head, picked, picked + 1);
    }
    std::vector<upstream_choice> ranked;
    ranked.reserve(candidates.size());
    for (const candidate& entry : candidates) {
        ranked.push_back(
            upstream_choice{.upstream = *entry.upstream, .model = request.model, .version = entry.version});
    }
    return ranked;
}

void keep_preferred_version(std::vector<candidate>& candidates, const std::vector<std::string>& preference)
{
    if (preference.empty()) {
        return;
    }
    for (const std::string& version : preference) {
        const auto is_other = [&](const candidate& entry) {
            return entry.version != version;
        };
        if (!std::all_of(candidates.begin(), candidates.end(), is_other)) {
            std::erase_if(candidates, is_other);
            return;
        }
    }
    candidates.clear();
}

std::size_t least_in_flight(const std::vector<candidate>& candidates, const route_request& /*request*/)
{
    const auto least = std::min_element(
        candidates.begin(), candidates.end(),
        [](const candidate& left, const candidate& right) { return left.in_flight < right.in_flight; });
    return static_cast<std::size_t>(least - candidates.begin());
}

} // namespace samphireway::routing
