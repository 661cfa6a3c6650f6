#pragma once

#include "metrics/histogram/bucket_counts.h"

#include <boost/accumulators/framework/accumulator_set.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <chrono>

namespace samphireway::metrics {

/** Snapshot of a histogram. @see duration_histogram::read */
struct histogram_reading {
    bucket_array buckets{};  ///< Samples in each bucket, not cumulative.
    std::uint64_t count = 0; ///< Samples in all buckets.
    double sum_seconds = 0;
};

/**
    Histogram of durations with fixed buckets.

    Not thread-safe: callers must lock.

    @see duration_bounds
*/
class duration_histogram {
public:
    /** Adds one duration. */
    void add(std::chrono::microseconds duration);

    /** Adds all samples of another histogram. */
    void merge(const duration_histogram& other);

    /** Returns the samples added and merged so far. */
    histogram_reading read() const;

private:
    using accumulator = boost::accumulators::accumulator_set<
        double, boost::accumulators::stats<boost::accumulators::tag::sum, tag::bucket_counts>>;

    accumulator samples;
    histogram_reading merged; ///< Samples from `merge`, since accumulator sets cannot be merged.
};

} // namespace samphireway::metrics
