#pragma once

#include "bench/load/load_options.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace samphireway::bench {

/** A request and its planned start, which doesn't depend on the progress of earlier requests. */
struct planned_request {
    std::chrono::microseconds offset{0}; ///< Planned start, relative to the start of the run.
    request_kind kind = request_kind::short_request;
    std::uint64_t number = 0;
};

/** Returns requests with the start times of a Poisson process, in order of time. Equal options, including the
    seed, give equal requests. */
std::vector<planned_request> plan_requests(const load_options& options);

/** The body of a request and the answer expected for it. @see build_request */
struct prepared_request {
    std::string body;
    std::string expected_text;
    std::int64_t worst_case_tokens = 0; ///< Tokens that a router has to reserve for the request.
};

/** Builds the body of a request. For the same options, its prompt and its expected answer depend only on the
    seed, the kind and the number of the request. */
prepared_request build_request(const load_options& options, const planned_request& planned);

} // namespace samphireway::bench
