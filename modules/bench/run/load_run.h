#pragma once

#include "bench/client/load_client.h"
#include "bench/run/budget_tracker.h"

#include <vector>

namespace samphireway::bench {

/** Results of sending one load. @see run_load */
struct load_outcome {
    std::vector<request_result> results;
    std::chrono::microseconds elapsed{0};
    std::size_t not_sent = 0;  ///< Planned requests that were dropped as no connection was free in time.
    std::size_t peak_open = 0; ///< Highest number of requests in flight.
};

/**
    Sends planned requests at their times over `options.connections` threads, each with its own connection.

    A request that is due while all connections are busy waits for one; the delay is its start lag. No request
    starts later than half a request timeout after the end of the planned duration.
*/
load_outcome run_load(const load_options& options, const std::vector<client_target>& targets,
                      const std::vector<planned_request>& planned, budget_tracker& budgets);

} // namespace samphireway::bench
