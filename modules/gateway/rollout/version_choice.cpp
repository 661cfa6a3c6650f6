#include "gateway/rollout/version_choice.h"

#include "core/core.h"

#include <algorithm>
#include <cmath>

namespace samphireway::gateway {

namespace {

using upstream_list = std::vector<std::shared_ptr<const upstream>>;

// With several upstreams, a fault of one of them can be told from a fault of the version.
constexpr std::size_t minimum_canary_upstreams = 3;

void keep_canaries(upstream_list& upstreams, const version_choice& choice,
                   const std::function<bool(const upstream&)>& is_avoided)
{
    const auto wanted =
        static_cast<std::size_t>(std::ceil(static_cast<double>(upstreams.size()) * choice.target_share));
    const std::size_t count = std::max(minimum_canary_upstreams, wanted);
    if (count >= upstreams.size()) {
        return;
    }
    const auto order = [&](const std::shared_ptr<const upstream>& entry) {
        return std::pair(is_avoided(*entry), core::hash64(choice.target + '/' + entry->id));
    };
    std::sort(upstreams.begin(), upstreams.end(),
              [&](const auto& left, const auto& right) { return order(left) < order(right); });
    upstreams.resize(count);
}

} // namespace

std::vector<std::shared_ptr<const upstream>>
eligible_upstreams(const std::vector<std::shared_ptr<const upstream>>& upstreams,
                   const version_choice& choice, const std::function<bool(const upstream&)>& is_avoided)
{
    upstream_list targets;
    upstream_list others;
    for (const std::shared_ptr<const upstream>& entry : upstreams) {
        if (!entry->is_draining) {
            const bool is_target = !choice.target.empty() && entry->version == choice.target;
            (is_target ? targets : others).push_back(entry);
        }
    }
    if (choice.is_withdrawn) {
        return others;
    }
    if ((choice.is_target && !targets.empty()) || others.empty()) {
        if (!others.empty()) {
            keep_canaries(targets, choice, is_avoided);
        }
        return targets;
    }
    return others;
}

} // namespace samphireway::gateway
