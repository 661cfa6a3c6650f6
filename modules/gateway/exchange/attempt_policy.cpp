#include "gateway/exchange/attempt_policy.h"

#include <algorithm>

namespace samphireway::gateway {

namespace {

using std::chrono::milliseconds;

// With less time than this another upstream could not answer before the deadline.
constexpr milliseconds shortest_attempt{20};
// A zone that is cut off fails every connect; more tries would only use up the time left.
constexpr int maximum_failed_connects = 3;
// Twice the target: half of the sound responses of a loaded upstream arrive after the target itself.
constexpr int silence_in_targets = 2;
constexpr milliseconds shortest_silence{300};

} // namespace

bool is_idempotent(const route& target)
{
    return target.kind == route_kind::safe || (target.kind == route_kind::stream && target.can_resume);
}

next_attempt may_try_again(const route& target, const attempt_history& history, core::steady_time now)
{
    if (now + shortest_attempt >= history.deadline || history.failed_connects > maximum_failed_connects) {
        return next_attempt::forbidden;
    }
    if (history.sends == 0) {
        return next_attempt::allowed;
    }
    if (history.sends >= target.maximum_attempts) {
        return next_attempt::forbidden;
    }
    if ((history.may_have_run || history.has_started) && !is_idempotent(target)) {
        return next_attempt::forbidden;
    }
    return next_attempt::needs_budget;
}

milliseconds silence_limit(const route& target, bool has_started)
{
    const milliseconds expected = has_started ? target.longest_gap : target.target_latency;
    return std::max(shortest_silence, expected * silence_in_targets);
}

milliseconds retry_after(milliseconds expected, milliseconds time_left, std::uint64_t selector)
{
    constexpr std::uint64_t spread_steps = 64;
    constexpr int requester_share = 3; // A requester ignores advice beyond a third of its time left.
    const auto step = static_cast<std::int64_t>(selector % spread_steps);
    const milliseconds spread = expected + expected * step / static_cast<std::int64_t>(spread_steps);
    return std::clamp(spread, milliseconds(10), std::max(milliseconds(10), time_left / requester_share));
}

} // namespace samphireway::gateway
