#pragma once

#include "bench/load/load_options.h"
#include "bench/measure/process_usage.h"
#include "bench/measure/remote_counts.h"
#include "bench/run/load_run.h"

#include <map>
#include <optional>
#include <string>

namespace samphireway::bench {

/** Measurements of one experiment. @see run_experiment, report_json */
struct experiment_result {
    load_outcome routed;
    std::optional<load_outcome> baseline;       ///< The same chat requests, sent directly to the upstreams.
    usage_summary usage;                        ///< Usage of the node processes during the routed load.
    remote_counts before;                       ///< Counters before the routed load.
    remote_counts after;                        ///< Counters after it; platform calls are those at its end.
    double load_average = 0;                    ///< One-minute load average at the end of the load.
    std::chrono::microseconds counting_time{0}; ///< Time between the counts of platform calls.
    std::map<std::string, plan_budget> budgets_before;
    std::map<std::string, plan_budget> budgets_after;
};

/** Runs the load, after a baseline if the options ask for one. Fails with `invalid_argument`
    without a node, a plan or a connection, or without an upstream for a baseline that is asked for. */
core::result<experiment_result> run_experiment(const load_options& options);

} // namespace samphireway::bench
