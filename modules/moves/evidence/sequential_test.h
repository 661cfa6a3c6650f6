#pragma once

#include "moves/evidence/summary.h"

#include <cstdint>
#include <optional>
#include <string>

namespace samphireway::moves {

/** Number of faulty outcomes among all outcomes of one kind. @see upper_limit */
struct proportion {
    std::uint64_t faults = 0;
    std::uint64_t total = 0;

    bool operator==(const proportion&) const = default;
};

/**
    Returns the natural logarithm of the beta-binomial mixture martingale at `rate`.

    For outcomes of fault rate p the process M(p) = B(k + 1/2, n - k + 1/2) / (B(1/2, 1/2) p^k
    (1-p)^(n-k)) is a non-negative martingale that starts at one, so by Ville's inequality it ever
    reaches 1/a with probability at most a, however often and whenever it is evaluated. Only the counts
    matter, so the counts of several nodes may be merged first.

    Source: H. Robbins, "Statistical methods related to the law of the iterated logarithm", Annals of
    Mathematical Statistics 41 (1970) 1397-1409; T. L. Lai, "On confidence sequences", Annals of
    Statistics 4 (1976) 265-280.
*/
double log_martingale(const proportion& observed, double rate);

/**
    Returns an upper confidence limit of the rate, or 1.0 if there are no outcomes.

    The true rate ever exceeds the limit, at any count, with probability at most `error_rate`.
*/
double upper_limit(const proportion& observed, double error_rate);

/**
    Returns whether the new version's fault rate is above the old one's plus a tolerance.

    Two tests, each with `error_rate`, contribute to the probability of a false positive.
*/
bool is_worse(const proportion& old_version, const proportion& new_version, double error_rate);

/** A signal in which the new version is worse than the old one. @see compare_versions */
struct finding {
    std::string signal; ///< `errors`, `empty_answers`, `first_token`, `gap` or `slowdown`.
    proportion old_version;
    proportion new_version;
    /// Whether the old version has enough outcomes over the same period to rule out
    /// a problem of both versions.
    bool is_confirmed = true;

    bool operator==(const finding&) const = default;
};

/**
    Compares two versions and returns the first signal in which the new one is worse.

    A finding requires that the lower confidence limit of the new version's fault rate lies above the
    upper limit of the old version's rate plus a tolerance. Each limit of a signal that is tested adds
    at most twice `error_rate` to the probability of a false positive. A latency is worse if a larger
    fraction of the new version's values exceeds a limit than of the old version's values exceeds 0.71
    of that limit, so that a version up to 1.41 times slower is accepted.

    @see tests_per_comparison
*/
std::optional<finding> compare_versions(const summary& old_version, const summary& new_version,
                                        double error_rate);

/**
    Compares how many requests had both a slow first token and slow gaps; returns a finding if the new
    version has a larger fraction of them.

    This test is the first to find a version that is slow for some of its requests only, since few
    requests to a good version are slow in both. The limits for slow are 1.41, 2 and 2.83 times the old
    version's mean; as in `compare_versions`, the new version's values are counted above the next higher
    limit.
*/
std::optional<finding> compare_slowdowns(const histogram& old_version, const histogram& new_version,
                                         double error_rate);

/** Maximum number of tests in one call of `compare_slowdowns`. */
inline constexpr std::size_t tests_per_slowdown = std::size_t{2} * 3;

/** Maximum number of tests in one call of `compare_versions`, among which an error rate is split. */
inline constexpr std::size_t tests_per_comparison = 2 + 2 * (histogram::buckets - 2);

} // namespace samphireway::moves
