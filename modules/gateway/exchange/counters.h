#pragma once

#include "metrics/metrics.h"

#include <cstdint>
#include <map>
#include <string>

namespace samphireway::gateway {

/** Counters and histograms of the traffic thread, served as metrics. Traffic thread only. */
struct counters {
    std::map<std::string, std::int64_t> outcomes;        ///< Number of ended requests by outcome.
    std::map<std::string, std::int64_t> attempt_results; ///< Number of attempts at upstreams by result.
    std::int64_t retries = 0;
    std::int64_t resumed_streams = 0;
    std::int64_t choices_limited = 0; ///< Times an upstream was passed over because of its limit.
    std::int64_t choices_brittle = 0; ///< Times a brittle upstream was passed over without a seat.
    std::int64_t requests_in_flight = 0;
    std::int64_t responses_in_delivery = 0; ///< Complete responses with bytes that are not written yet.
    std::int64_t requester_connections = 0;
    metrics::duration_histogram time_to_first_output; ///< Arrival to whole response or stream's first event.
    metrics::duration_histogram request_duration;     ///< Arrival of a request to its end.

    /** Returns whether a requester still waits for a response or for a part of it. */
    bool has_open_responses() const noexcept
    {
        return this->requests_in_flight > 0 || this->responses_in_delivery > 0;
    }
};

} // namespace samphireway::gateway
