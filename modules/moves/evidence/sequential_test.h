#pragma once

#include "moves/evidence/summary.h"

#include <cstdint>
#include <optional>
#include <string>

namespace samphireway::moves {

/** Faulty outcomes among all outcomes of one kind. @see upper_limit */
struct proportion {
    std::uint64_t faults = 0;
    std::uint64_t total = 0;

    bool operator==(const proportion&) const = default;
};

/**
    Returns the natural logarithm of the beta-binomial mixture martingale at the rate `rate`.

    For outcomes of fault rate p the process M(p) = B(k + 1/2, n - k + 1/2) / (B(1/2, 1/2) p^k (1-p)^(n-k)) is
    a non-negative martingale that starts at one, so by Ville's inequality it ever reaches 1/a with
    probability at most a, however often and whenever it is looked at. Only the counts matter, so summaries of
    several nodes may be merged first.

    Source: H. Robbins, "Statistical methods related to the law of the iterated logarithm", Annals of
    Mathematical Statistics 41 (1970) 1397-1409; T. L. Lai, "On confidence sequences", Annals of Statistics 4
    (1976) 265-280.
*/
double log_martingale(const proportion& observed, double rate);

/** Returns a rate that the true one falls below at any time with probability at most `error_rate`. */
double upper_limit(const proportion& observed, double error_rate);

/** Returns whether the new version's rate is above the old one's plus a tolerance, at an error rate of two
 * tests. */
bool is_worse(const proportion& old_version, const proportion& new_version, double error_rate);

/** A signal on which the new version is worse than the old. @see judge */
struct finding {
    std::string signal; ///< `errors`, `empty_answers`, `first_token` or `gap`.
    proportion old_version;
    proportion new_version;
    bool is_confirmed = true; ///< Whether the old version's outcomes of the same time are enough to tell.

    bool operator==(const finding&) const = default;
};

/**
    Compares two versions side by side; returns the first signal on which the new one is worse.

    A finding is wrong with probability at most twice `error_rate` for each signal's limit tested: it needs
   the new version's lower limit to lie above the old version's upper limit plus a tolerance. A latency counts
   as worse when more of the new version's values exceed a limit than of the old version's values exceed 0.71
   of that limit, so that a version up to 1.41 times slower is accepted.

    @see tests_per_comparison
*/
std::optional<finding> judge(const summary& old_version, const summary& new_version, double error_rate);

/**
    Compares how many requests were slow in first token and gap alike; returns a finding when the new version
    has more of them.

    A version that is slow for a part of its requests shows here first: few requests of a sound version are
   slow in both. Slow is a limit of 1.41, 2 or 2.83 times the old version's mean; as in `judge`, the new
   version is held to the next higher limit.
*/
std::optional<finding> judge_slowdown(const histogram& old_version, const histogram& new_version,
                                      double error_rate);

/** Number of tests that one call of `judge_slowdown` may make. */
inline constexpr std::size_t tests_per_slowdown = std::size_t{2} * 3;

/** Number of tests that one call of `judge` may make; for splitting an error rate. */
inline constexpr std::size_t tests_per_comparison = 2 + 2 * (histogram::buckets - 2);

} // namespace samphireway::moves
