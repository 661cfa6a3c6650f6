#pragma once

#include "bench/load/load_options.h"

#include <json/json.h>
#include <map>
#include <string>

namespace samphireway::bench {

/** Sums of the counters of all engine and platform stand-ins. @see read_counts */
struct remote_counts {
    std::int64_t engine_tokens = 0; ///< Prompt and output tokens that the engines used.
    std::int64_t engine_requests = 0;
    std::int64_t out_of_memory = 0;
    std::int64_t peak_running = 0;   ///< Sum of each engine's highest number of concurrent requests.
    std::int64_t platform_reads = 0; ///< Read calls, including watches.
    std::int64_t platform_writes = 0;
};

/** Returns the sums of `/counters` of all upstreams and platforms; one that does not answer adds zero. */
remote_counts read_counts(const load_options& options);

/** A plan's budget in tokens. @see read_budgets */
struct plan_budget {
    std::int64_t limit = 0;
    std::int64_t spent = 0;
    std::int64_t available = 0; ///< Tokens that the ledger can still grant to nodes.
    std::int64_t held = 0;      ///< Tokens granted to nodes and neither spent nor returned.
};

/**
    Returns the budgets of the options' plans. Reads the ledgers at the first platform, with one call for any
    number of plans, or the administration API when the options name no platform. A plan whose budget can't be
    read is left out.
*/
std::map<std::string, plan_budget> read_budgets(const load_options& options);

} // namespace samphireway::bench
