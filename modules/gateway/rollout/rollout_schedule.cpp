#include "gateway/rollout/rollout_schedule.h"

#include <algorithm>

namespace samphireway::gateway {

namespace {

using std::chrono::milliseconds;

// Part of the exposure share that the canary gets at least; with less there would be no evidence.
constexpr double least_canary_part = 0.2;
constexpr double ramp_share = 0.25;

// Parts of the whole time, before its end. The longest spans suit roll-outs of minutes: the last steps need
// time for evidence and for requests in flight, not a part of the whole.
constexpr double ramp_fraction = 0.21;
constexpr double shift_fraction = 0.105;
constexpr double complete_fraction = 0.06;
constexpr double late_fraction = 0.035;
constexpr milliseconds longest_ramp{60000};
constexpr milliseconds longest_shift{40000};
constexpr milliseconds longest_completion{20000};
constexpr milliseconds longest_late{5000};
// Time from the outcomes that show a fault until all nodes have stopped.
constexpr milliseconds stopping_time{600};

milliseconds before_end(milliseconds duration, double fraction, milliseconds longest)
{
    const auto span =
        milliseconds(static_cast<std::int64_t>(static_cast<double>(duration.count()) * fraction));
    return duration - std::min(span, longest);
}

} // namespace

rollout_schedule make_schedule(milliseconds duration)
{
    return rollout_schedule{.ramp_at = before_end(duration, ramp_fraction, longest_ramp),
                            .shift_at = before_end(duration, shift_fraction, longest_shift),
                            .complete_at = before_end(duration, complete_fraction, longest_completion),
                            .complete_by = before_end(duration, late_fraction, longest_late),
                            .end = duration};
}

double canary_share(const rollout_schedule& schedule, const rollout_limits& limits,
                    double requests_per_second)
{
    const auto requests = [requests_per_second](milliseconds span) {
        return requests_per_second * std::chrono::duration<double>(span).count();
    };
    const double allowed = limits.exposure_share * requests(schedule.end) + limits.exposure_slack;
    const double later = ramp_share * requests(schedule.shift_at - schedule.ramp_at) +
                         requests(schedule.complete_at - schedule.shift_at + stopping_time);
    const double least = limits.exposure_share * least_canary_part;
    const double canary_requests = requests(schedule.ramp_at);
    return canary_requests > 0 ? std::clamp((allowed - later) / canary_requests, least, ramp_share) : least;
}

double share_at(const rollout_schedule& schedule, double canary, milliseconds age)
{
    if (age >= schedule.shift_at) {
        return 1;
    }
    return age >= schedule.ramp_at ? std::max(ramp_share, canary) : canary;
}

} // namespace samphireway::gateway
