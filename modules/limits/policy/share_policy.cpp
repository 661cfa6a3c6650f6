#include "limits/policy/share_policy.h"

#include <algorithm>

namespace samphireway::limits {

namespace {

// A quarter above the recent peak absorbs a burst without a platform call and leaves the rest to other nodes.
constexpr amount headroom_divisor = 4;

amount cap_of(const share_view& view, amount equal_share)
{
    amount cap = view.held;
    if (view.outstanding > view.limit && view.outstanding > 0) {
        cap = std::min(cap, view.held * view.limit / view.outstanding);
    }
    if (view.unmet_demand_elsewhere > 0 && view.available <= 0) {
        cap = std::min(cap, std::max(equal_share, view.held - view.unmet_demand_elsewhere));
    }
    return std::max<amount>(0, cap);
}

} // namespace

share_decision decide_share(const share_view& view)
{
    const auto contenders = static_cast<amount>(std::max<std::size_t>(1, view.contenders));
    const amount equal_share = std::max<amount>(1, view.limit / contenders);
    const amount idle = std::max<amount>(0, view.held - view.in_use);
    share_decision decision{.cap = cap_of(view, equal_share)};
    if (view.is_draining) {
        decision.give_back = idle;
        return decision;
    }
    const amount target = view.peak_demand + (view.peak_demand + headroom_divisor - 1) / headroom_divisor;
    if (view.held > decision.cap) {
        decision.give_back = std::min(idle, view.held - decision.cap);
        return decision;
    }
    if (target > view.held) {
        const amount ceiling =
            view.unmet_demand_elsewhere > 0 ? std::max(equal_share, view.largest_waiting) : view.limit;
        decision.draw = std::max<amount>(0, std::min(target, ceiling) - view.held);
        return decision;
    }
    // A share is returned only when at least half of it is idle, so that small changes cause no platform
    // calls.
    if (view.held >= 2 * target && view.held > 0) {
        decision.give_back = std::min(idle, view.held - target);
    }
    return decision;
}

} // namespace samphireway::limits
