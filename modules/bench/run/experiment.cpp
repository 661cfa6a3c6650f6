#include "bench/run/experiment.h"

#include <cstdlib>
#include <thread>

namespace samphireway::bench {

namespace {

// Nodes delay a ledger write that contains only settlements by a second or more.
constexpr std::chrono::milliseconds settle_poll_interval{500};
constexpr int maximum_settle_polls = 20;

bool is_same_spend(const std::map<std::string, plan_budget>& left,
                   const std::map<std::string, plan_budget>& right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](const auto& one, const auto& other) {
                          return one.first == other.first && one.second.spent == other.second.spent;
                      });
}

/** Waits until the plans' spend no longer changes, for at most 20 polls, and returns their budgets. */
std::map<std::string, plan_budget> await_settled(const load_options& options)
{
    constexpr int required_stable_polls = 4;
    std::map<std::string, plan_budget> budgets = read_budgets(options);
    int stable = 0;
    for (int poll = 0;
         poll < maximum_settle_polls && stable < required_stable_polls && options.is_settling_awaited;
         ++poll) {
        std::this_thread::sleep_for(settle_poll_interval);
        std::map<std::string, plan_budget> next = read_budgets(options);
        stable = is_same_spend(budgets, next) ? stable + 1 : 0;
        budgets = std::move(next);
    }
    return budgets;
}

std::vector<client_target> router_targets(const load_options& options)
{
    std::vector<client_target> targets;
    for (const traffic::endpoint& node : options.nodes) {
        targets.push_back(client_target{.endpoint = node, .is_router = true});
    }
    return targets;
}

load_outcome run_baseline(const load_options& options, const std::vector<planned_request>& planned)
{
    std::vector<planned_request> chat_requests;
    for (const planned_request& request : planned) {
        if (request.kind != request_kind::service_call) {
            chat_requests.push_back(request);
        }
    }
    std::vector<client_target> targets;
    for (const traffic::endpoint& upstream : options.upstreams) {
        targets.push_back(client_target{.endpoint = upstream, .is_router = false});
    }
    budget_tracker empty_tracker({});
    return run_load(options, targets, chat_requests, empty_tracker);
}

} // namespace

core::result<experiment_result> run_experiment(const load_options& options)
{
    if (options.nodes.empty() || options.plans.empty() || options.connections == 0) {
        return core::failure(core::error_code::invalid_argument,
                             "at least one node, one plan and one connection are needed");
    }
    if (options.has_baseline && options.upstreams.empty()) {
        return core::failure(core::error_code::invalid_argument, "a baseline needs at least one upstream");
    }
    const std::vector<planned_request> planned = plan_requests(options);
    experiment_result result;
    if (options.has_baseline) {
        result.baseline = run_baseline(options, planned);
    }
    result.budgets_before = read_budgets(options);
    std::map<std::string, std::int64_t> available;
    for (const auto& [plan, budget] : result.budgets_before) {
        available[plan] = budget.limit - budget.spent;
    }
    budget_tracker budgets(std::move(available));
    result.before = read_counts(options);
    const core::steady_time counting_start = std::chrono::steady_clock::now();
    usage_sampler sampler(options.node_processes);
    result.routed = run_load(options, router_targets(options), planned, budgets);
    result.usage = sampler.stop();
    result.counting_time = std::chrono::duration_cast<std::chrono::microseconds>(
        std::chrono::steady_clock::now() - counting_start);
    getloadavg(&result.load_average, 1);
    const remote_counts counts_at_end = read_counts(options);
    result.budgets_after = await_settled(options);
    result.after = read_counts(options);
    // The platform calls made while waiting for settlements are not part of the load.
    result.after.platform_reads = counts_at_end.platform_reads;
    result.after.platform_writes = counts_at_end.platform_writes;
    return result;
}

} // namespace samphireway::bench
