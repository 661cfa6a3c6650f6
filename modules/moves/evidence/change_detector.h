#pragma once

#include "moves/evidence/sequential_test.h"

#include <array>
#include <optional>
#include <string>

namespace samphireway::moves {

/**
    Detects that the new version's fault rate rises, at any time, above the limit set by the old
    version's.

    The score is Page's cumulative sum (CUSUM) of log likelihood ratios of an unacceptable rate to the
    highest acceptable one. While the rate stays acceptable, the probability that the score reaches h
    within n outcomes is at most n exp(-h): the sum that starts at any one outcome is a likelihood ratio
    with expectation at most one (Ville's inequality), and the bound adds up over the n possible starts.
    Outcomes may be added in batches, in the order of their arrival.

    Source: E. S. Page, "Continuous inspection schemes", Biometrika 41 (1954) 100-115; G. Lorden,
    "Procedures for reacting to a change in distribution", Annals of Mathematical Statistics 42 (1971)
    1897-1908.
*/
class change_detector {
public:
    /** Counts a batch of outcomes. `baseline` holds the old version's counts before the batch. */
    void add(const proportion& old_version, const proportion& new_version, const proportion& baseline);

    /**
        Returns the counts since the rise began if the score has reached `threshold`.

        Returns nothing if the old version's outcomes over the same time contradict the finding, because
        both versions are then affected. If there are too few such outcomes, the finding is not
        confirmed.
    */
    std::optional<finding> find(double threshold, const std::string& signal) const;

    /** Returns whether the score is above zero. */
    bool is_rising() const noexcept;

private:
    void update_acceptable_rate(const proportion& baseline);

    double score = 0;
    double acceptable_rate = 1;        ///< Highest acceptable fault rate of the new version.
    std::uint64_t baseline_total = 0;  ///< Baseline's total when `acceptable_rate` was computed.
    std::uint64_t baseline_faults = 0; ///< Baseline's faults when `acceptable_rate` was computed.
    proportion old_since_reset;        ///< Old version's outcomes since the score was last zero.
    proportion new_since_reset;        ///< New version's outcomes since the score was last zero.
};

/** Detectors of one route: two for each latency and one for each other signal. @see change_detector */
class route_detectors {
public:
    /** Counts a batch of outcomes. `baseline` holds the old version's counts before the batch. */
    void add(const summary& old_version, const summary& new_version, const summary& baseline);

    /** Returns the finding of the first detector whose score has reached `threshold`. */
    std::optional<finding> find(double threshold) const;

    static constexpr std::size_t detector_count = 6;

private:
    std::array<change_detector, detector_count> signals;
};

/**
    Returns the score threshold for a bound on false positives.

    With it, detectors that count at most `outcomes` outcomes of the new version in total, over all
    routes, report a fault of a good version with a probability of at most `error_rate`.
*/
double detection_threshold(double error_rate, double outcomes);

} // namespace samphireway::moves
