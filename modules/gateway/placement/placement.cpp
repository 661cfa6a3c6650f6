#include "gateway/placement/placement.h"

#include "core/core.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace samphireway::gateway {

namespace {

std::uint64_t rendezvous_weight(std::uint64_t key, const std::string& id)
{
    return core::hash64(core::to_hex(key) + id);
}

/** Returns the indices of the best candidates: healthy ones, else full ones, else ejected ones. */
std::vector<std::size_t> best_group(const std::vector<placement_candidate>& candidates)
{
    const auto rank = [](const placement_candidate& candidate) {
        return candidate.is_ejected ? 2 : static_cast<int>(candidate.is_full);
    };
    int best = 2;
    for (const placement_candidate& candidate : candidates) {
        best = std::min(best, rank(candidate));
    }
    std::vector<std::size_t> group;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        if (rank(candidates[index]) == best) {
            group.push_back(index);
        }
    }
    return group;
}

int load_cap(const std::vector<placement_candidate>& candidates, const std::vector<std::size_t>& group,
             const placement_options& options)
{
    int total = 0;
    for (const std::size_t index : group) {
        total += candidates[index].in_flight;
    }
    const double mean = static_cast<double>(total) / static_cast<double>(group.size());
    return static_cast<int>(std::ceil(mean * options.cap_factor)) + options.cap_slack;
}

} // namespace

std::optional<std::size_t> choose_upstream(const std::vector<placement_candidate>& candidates,
                                           const placement_request& request, const placement_options& options)
{
    if (candidates.empty()) {
        return std::nullopt;
    }
    const std::vector<std::size_t> group = best_group(candidates);
    const int cap = request.prefix ? load_cap(candidates, group, options) : 0;
    const auto order = [&](std::size_t index) {
        const placement_candidate& candidate = candidates[index];
        if (request.prefix) {
            return std::tuple(candidate.in_flight >= cap, 0, false,
                              ~rendezvous_weight(*request.prefix, candidate.id));
        }
        return std::tuple(false, candidate.in_flight, !candidate.is_same_zone,
                          rendezvous_weight(request.selector, candidate.id));
    };
    return *std::min_element(group.begin(), group.end(), [&order](std::size_t left, std::size_t right) {
        return order(left) < order(right);
    });
}

} // namespace samphireway::gateway
