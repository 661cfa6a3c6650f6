#pragma once

#include "budget_schemes.h"

namespace samphireway::experiments {

/**
    A workload for a scheme. Requests arrive at random at nodes of equal weight; plans differ in size.

    @see run_workload
*/
struct workload {
    std::size_t nodes = 8;
    std::size_t zones = 4;
    std::size_t plans = 10;
    double requests_per_second = 40;
    std::chrono::seconds drained_after{600}; ///< The deposits equal the expected use in this time.
    std::chrono::seconds length{700};
    /** Start of the partition, in which the first `zones_cut` zones cannot reach the platform. */
    std::chrono::seconds cut_from{0};
    std::chrono::seconds cut_length{0};
    std::size_t zones_cut = 0;
    /** Share of a plan's requests that are sent to its own zone; the others go to any zone. */
    double preferred_zone_share = 0;
    std::uint64_t identified_every = 2; ///< One in this number of requests has a request id.
    std::uint64_t seed = 1;
};

/** Results of a run. */
struct workload_result {
    std::uint64_t requests = 0;
    std::uint64_t refusals = 0;
    std::uint64_t false_refusals = 0; ///< Refused although the whole plan covered the request.
    escrow::amount overspend = 0;
    double calls_per_second = 0;         ///< Over the whole run.
    double busiest_calls_per_second = 0; ///< Over the busiest ten seconds.
    std::size_t object_bytes = 0;
    escrow::amount largest_held = 0; ///< Largest amount of a plan at one node, at any checkpoint.
    double largest_held_share = 0;   ///< Largest such amount as a share of what was left of its plan.
};

/** Creates a scheme that uses the clock of the run. */
using scheme_factory = std::function<std::unique_ptr<budget_scheme>(const core::clock&)>;

/**
    Runs a workload on a scheme and returns the results. The same seed gives every scheme the same
    requests.
*/
workload_result run_workload(const workload& load, const scheme_factory& make);

} // namespace samphireway::experiments
