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

/** Returns the indices of the best candidates: healthy ones, else full ones, else ejected ones. Candidates at
 * their limits do not count as such. */
std::vector<std::size_t> best_group(const std::vector<placement_candidate>& candidates)
{
    const auto rank = [](const placement_candidate& candidate) {
        return candidate.is_ejected ? 2 : static_cast<int>(candidate.is_full);
    };
    int best = 2;
    for (const placement_candidate& candidate : candidates) {
        best = candidate.is_at_limit ? best : std::min(best, rank(candidate));
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
    const std::vector<std::size_t> group = best_group(candidates);
    std::vector<std::size_t> unlimited;
    std::vector<std::size_t> limited;
    for (const std::size_t index : group) {
        (candidates[index].has_limit ? limited : unlimited).push_back(index);
    }
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
    const auto best_of = [&order](const std::vector<std::size_t>& indices) {
        const auto found =
            std::min_element(indices.begin(), indices.end(), [&order](std::size_t left, std::size_t right) {
                return order(left) < order(right);
            });
        return found == indices.end() ? std::nullopt : std::optional<std::size_t>(*found);
    };
    const std::optional<std::size_t> best = best_of(unlimited);
    const bool is_light = request.prefix && request.shared_tokens < options.least_shared_tokens;
    const int margin = is_light ? options.light_margin : 0;
    std::erase_if(limited, [&](std::size_t index) {
        const placement_candidate& candidate = candidates[index];
        return candidate.is_at_limit || (best && candidate.in_flight + margin >= candidates[*best].in_flight);
    });
    const std::optional<std::size_t> best_limited = best_of(limited);
    return best_limited ? best_limited : best;
}

} // namespace samphireway::gateway
