#include "moves/evidence/change_detector.h"

#include <algorithm>
#include <cmath>

namespace samphireway::moves {

namespace {

// Same tolerances as in `compare_versions`: slightly higher fault rates are accepted.
constexpr double relative_tolerance = 1.1;
constexpr double absolute_tolerance = 0.01;

/// Difference between the unacceptable and the acceptable rate. A rise of this size is found fastest;
/// any rise of more than about half of it is found.
constexpr double unacceptable_excess = 0.15;

/// If the acceptable rate is higher than this, a rise above it cannot be detected,
/// and outcomes are not scored.
constexpr double highest_acceptable_rate = 0.8;

/// Probability, for each detector and route, that the old version's true rate exceeds its upper limit.
constexpr double baseline_error_rate = 1e-8;

/// The upper limit of the old version's rate is recomputed when its counts have grown by an eighth.
constexpr std::uint64_t refresh_divisor = 8;

/// The old version's outcomes over the same time can confirm or contradict a finding if there are at
/// least 50 of them, or at least a quarter as many as of the new version.
constexpr std::uint64_t minimum_concurrent_outcomes = 50;
constexpr std::uint64_t concurrent_divisor = 4;
constexpr double concurrent_error_rate = 0.05;

/// Fractions of the old version's latencies that lie above the two limits derived from it.
constexpr std::array<double, 2> slow_fractions{0.1, 0.01};

/** Returns the lowest bucket such that at most `fraction` of the baseline lies in it or above. */
std::size_t find_limit(const histogram& baseline, double fraction)
{
    const auto allowed = fraction * static_cast<double>(baseline.count_from(0));
    std::uint64_t above = 0;
    std::size_t limit = histogram::buckets - 1;
    while (limit > 0) {
        above += baseline.counts.at(limit);
        if (static_cast<double>(above) > allowed) {
            break;
        }
        --limit;
    }
    return std::min(limit + 1, histogram::buckets - 2);
}

proportion above(const histogram& latencies, std::size_t limit)
{
    return {.faults = latencies.count_from(limit), .total = latencies.count_from(0)};
}

void add_to(proportion& target, const proportion& part)
{
    target.faults += part.faults;
    target.total += part.total;
}

} // namespace

void change_detector::update_acceptable_rate(const proportion& baseline)
{
    const bool is_same =
        baseline.total >= this->baseline_total &&
        baseline.total < this->baseline_total + this->baseline_total / refresh_divisor &&
        baseline.faults < this->baseline_faults + this->baseline_faults / refresh_divisor + 2;
    if (is_same) {
        return;
    }
    this->baseline_total = baseline.total;
    this->baseline_faults = baseline.faults;
    this->acceptable_rate =
        upper_limit(baseline, baseline_error_rate) * relative_tolerance + absolute_tolerance;
}

void change_detector::add(const proportion& old_version, const proportion& new_version,
                          const proportion& baseline)
{
    if (new_version.total > 0) {
        this->update_acceptable_rate(baseline);
        if (this->acceptable_rate > highest_acceptable_rate) {
            return;
        }
        const double unacceptable_rate = this->acceptable_rate + unacceptable_excess;
        const auto faults = static_cast<double>(new_version.faults);
        const auto others = static_cast<double>(new_version.total - new_version.faults);
        this->score += faults * std::log(unacceptable_rate / this->acceptable_rate) +
                       others * std::log((1 - unacceptable_rate) / (1 - this->acceptable_rate));
    }
    if (this->score <= 0) {
        this->score = 0;
        this->old_since_reset = {};
        this->new_since_reset = {};
        return;
    }
    add_to(this->old_since_reset, old_version);
    add_to(this->new_since_reset, new_version);
}

std::optional<finding> change_detector::find(double threshold, const std::string& signal) const
{
    if (this->score < threshold) {
        return std::nullopt;
    }
    const bool can_contradict =
        this->old_since_reset.total >= minimum_concurrent_outcomes ||
        this->old_since_reset.total >= this->new_since_reset.total / concurrent_divisor;
    if (can_contradict && !is_worse(this->old_since_reset, this->new_since_reset, concurrent_error_rate)) {
        return std::nullopt;
    }
    return finding{.signal = signal,
                   .old_version = this->old_since_reset,
                   .new_version = this->new_since_reset,
                   .is_confirmed = can_contradict};
}

bool change_detector::is_rising() const noexcept
{
    return this->score > 0;
}

void route_detectors::add(const summary& old_version, const summary& new_version, const summary& baseline)
{
    // Most outcomes are the old version's and come while all scores are zero; skipping them saves time.
    const bool is_rising = std::any_of(this->signals.begin(), this->signals.end(),
                                       [](const change_detector& signal) { return signal.is_rising(); });
    if (new_version.requests == 0 && !is_rising) {
        return;
    }
    this->signals[0].add({old_version.errors, old_version.requests},
                         {new_version.errors, new_version.requests}, {baseline.errors, baseline.requests});
    this->signals[1].add({old_version.empty_answers, old_version.requests},
                         {new_version.empty_answers, new_version.requests},
                         {baseline.empty_answers, baseline.requests});
    std::size_t next = 2;
    for (const auto latency : {&summary::first_token, &summary::gap}) {
        for (const double fraction : slow_fractions) {
            const std::size_t limit = find_limit(baseline.*latency, fraction);
            this->signals.at(next).add(above(old_version.*latency, limit),
                                       above(new_version.*latency, limit + 1),
                                       above(baseline.*latency, limit));
            ++next;
        }
    }
}

std::optional<finding> route_detectors::find(double threshold) const
{
    static const std::array<std::string, detector_count> names{"errors",      "empty_answers", "first_token",
                                                               "first_token", "gap",           "gap"};
    for (std::size_t index = 0; index < detector_count; ++index) {
        if (auto found = this->signals.at(index).find(threshold, names.at(index))) {
            return found;
        }
    }
    return std::nullopt;
}

double detection_threshold(double error_rate, double outcomes)
{
    return std::log(outcomes * static_cast<double>(route_detectors::detector_count) / error_rate);
}

} // namespace samphireway::moves
