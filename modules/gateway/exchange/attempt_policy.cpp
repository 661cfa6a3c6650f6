#include "gateway/exchange/attempt_policy.h"

#include <algorithm>

namespace samphireway::gateway {

namespace {

using std::chrono::milliseconds;

// With less time left than this another upstream could not respond before the deadline.
constexpr milliseconds minimum_attempt_time{20};
// A request with more failed connects is not retried: when an availability zone is unreachable, every
// connect to it fails and further attempts would only use up the time left.
constexpr int maximum_failed_connects = 3;
// Twice the target latency: a loaded upstream sends half of its valid responses after the target itself.
constexpr int inactivity_timeout_factor = 2;
constexpr milliseconds minimum_inactivity_timeout{300};

} // namespace

bool is_idempotent(const route& target)
{
    return target.kind == route_kind::safe || (target.kind == route_kind::stream && target.can_resume);
}

retry_decision decide_retry(const route& target, const attempt_history& history, core::steady_time now)
{
    if (now + minimum_attempt_time >= history.deadline || history.failed_connects > maximum_failed_connects) {
        return retry_decision::forbidden;
    }
    if (history.sends == 0) {
        return retry_decision::allowed;
    }
    if (history.sends >= target.maximum_attempts) {
        return retry_decision::forbidden;
    }
    if ((history.may_have_run || history.has_begun_stream) && !is_idempotent(target)) {
        return retry_decision::forbidden;
    }
    return retry_decision::needs_budget;
}

milliseconds inactivity_timeout(const route& target, bool has_begun_stream)
{
    const milliseconds expected = has_begun_stream ? target.longest_gap : target.target_latency;
    return std::max(minimum_inactivity_timeout, expected * inactivity_timeout_factor);
}

milliseconds stall_timeout(const route& target)
{
    constexpr milliseconds least{2000};
    constexpr int latency_factor = 4;
    constexpr int gap_factor = 8;
    return std::max({least, target.target_latency * latency_factor, target.longest_gap * gap_factor});
}

milliseconds retry_after(milliseconds expected, milliseconds time_left, std::uint64_t selector)
{
    constexpr std::uint64_t spread_steps = 64;
    constexpr int time_left_divisor = 3; // A requester ignores advice beyond a third of its time left.
    const auto step = static_cast<std::int64_t>(selector % spread_steps);
    const milliseconds spread = expected + expected * step / static_cast<std::int64_t>(spread_steps);
    return std::clamp(spread, milliseconds(10), std::max(milliseconds(10), time_left / time_left_divisor));
}

} // namespace samphireway::gateway
