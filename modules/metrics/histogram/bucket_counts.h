#pragma once

#include <algorithm>
#include <array>
#include <boost/accumulators/framework/accumulator_base.hpp>
#include <boost/accumulators/framework/depends_on.hpp>
#include <boost/accumulators/framework/extractor.hpp>
#include <boost/accumulators/framework/parameters/sample.hpp>
#include <boost/mpl/placeholders.hpp>
#include <cstdint>

namespace samphireway::metrics {

/**
    Upper bounds of the duration buckets in seconds.

    They include the latency targets: 1 ms and 5 ms added latency, 33 ms between tokens and 1.6 s to the
    first token.
*/
constexpr std::array<double, 16> duration_bounds{0.0005, 0.001, 0.0025, 0.005, 0.01, 0.02, 0.033, 0.05,
                                                 0.1,    0.25,  0.5,    1.0,   1.6,  5.0,  15.0,  60.0};

/** Number of samples in each bucket. The last entry counts samples above all bounds. */
using bucket_array = std::array<std::uint64_t, duration_bounds.size() + 1>;

namespace detail {

/** Statistic for Boost.Accumulators that counts samples in the fixed duration buckets. */
template<typename Sample> struct bucket_counts : boost::accumulators::accumulator_base {
    using result_type = bucket_array;

    explicit bucket_counts(boost::accumulators::dont_care) {}

    template<typename Arguments> void operator()(const Arguments& arguments)
    {
        const Sample value = arguments[boost::accumulators::sample];
        const auto* const bound = std::lower_bound(duration_bounds.begin(), duration_bounds.end(), value);
        ++this->counts.at(static_cast<std::size_t>(bound - duration_bounds.begin()));
    }

    result_type result(boost::accumulators::dont_care) const
    {
        return this->counts;
    }

    bucket_array counts{};
};

} // namespace detail

namespace tag {

/** Feature that selects `detail::bucket_counts` in an accumulator set. */
struct bucket_counts : boost::accumulators::depends_on<> {
    using impl = detail::bucket_counts<boost::mpl::_1>;
};

} // namespace tag

} // namespace samphireway::metrics
