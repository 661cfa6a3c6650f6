#include "metrics/histogram/duration_histogram.h"

#include <numeric>

namespace samphireway::metrics {

void duration_histogram::add(std::chrono::microseconds duration)
{
    this->samples(std::chrono::duration<double>(duration).count());
}

void duration_histogram::merge(const duration_histogram& other)
{
    const histogram_reading added = other.read();
    for (std::size_t index = 0; index < added.buckets.size(); ++index) {
        this->merged.buckets.at(index) += added.buckets.at(index);
    }
    this->merged.count += added.count;
    this->merged.sum_seconds += added.sum_seconds;
}

histogram_reading duration_histogram::read() const
{
    histogram_reading reading = this->merged;
    const bucket_array counts = boost::accumulators::extract_result<tag::bucket_counts>(this->samples);
    for (std::size_t index = 0; index < counts.size(); ++index) {
        reading.buckets.at(index) += counts.at(index);
    }
    reading.count += std::accumulate(counts.begin(), counts.end(), std::uint64_t{0});
    reading.sum_seconds += boost::accumulators::extract_result<boost::accumulators::tag::sum>(this->samples);
    return reading;
}

} // namespace samphireway::metrics
