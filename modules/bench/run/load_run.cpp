#include "bench/run/load_run.h"

#include <algorithm>
#include <atomic>
#include <thread>

namespace samphireway::bench {

namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;

/** State shared by the threads of one run. */
struct run_state {
    const load_options& options;
    const std::vector<planned_request>& planned;
    budget_tracker& budgets;
    core::steady_time start;
    std::atomic<std::size_t> next = 0;
    std::atomic<std::size_t> open = 0;
    std::atomic<std::size_t> peak_open = 0;
    std::atomic<std::size_t> not_sent = 0;
};

void count_open_request(run_state& state)
{
    const std::size_t open_requests = ++state.open;
    std::size_t peak = state.peak_open;
    while (open_requests > peak && !state.peak_open.compare_exchange_weak(peak, open_requests)) {
    }
}

request_result send_request(run_state& state, load_client& client, const planned_request& planned)
{
    const std::string& plan = state.options.plans[planned.number % state.options.plans.size()];
    const prepared_request prepared = build_request(state.options, planned);
    const core::steady_time due = state.start + planned.offset;
    std::this_thread::sleep_until(due);
    const bool is_billed = planned.kind != request_kind::service_call;
    const std::int64_t worst_case = is_billed ? prepared.worst_case_tokens : 0;
    const core::steady_time started = std::chrono::steady_clock::now();
    state.budgets.start_request(plan, worst_case);
    count_open_request(state);
    request_result result = client.send(planned, prepared, plan);
    --state.open;
    result.start_lag = duration_cast<microseconds>(started - due);
    // An answer that reports no usage may be billed up to its worst case, so the worst case is assumed.
    const bool has_run = result.end != request_end::refused;
    const std::int64_t used = has_run && result.used_tokens == 0 ? worst_case : result.used_tokens;
    state.budgets.finish_request(plan, worst_case, used);
    const bool is_budget_refusal = result.code == "budget_exhausted" || result.code == "budget_unavailable";
    result.is_false_refusal = is_budget_refusal && state.budgets.can_cover(plan, worst_case);
    return result;
}

void run_connection(run_state& state, const client_target& target, std::vector<request_result>& results)
{
    load_client client(state.options, target);
    const core::steady_time last_start =
        state.start + state.options.duration + state.options.request_timeout / 2;
    while (true) {
        const std::size_t index = state.next.fetch_add(1);
        if (index >= state.planned.size()) {
            return;
        }
        if (std::chrono::steady_clock::now() > last_start) {
            ++state.not_sent;
            continue;
        }
        results.push_back(send_request(state, client, state.planned[index]));
    }
}

} // namespace

load_outcome run_load(const load_options& options, const std::vector<client_target>& targets,
                      const std::vector<planned_request>& planned, budget_tracker& budgets)
{
    constexpr std::chrono::milliseconds start_delay{200};
    run_state state{.options = options,
                    .planned = planned,
                    .budgets = budgets,
                    .start = std::chrono::steady_clock::now() + start_delay};
    std::vector<std::vector<request_result>> results(options.connections);
    std::vector<std::thread> threads;
    for (std::size_t index = 0; index < options.connections; ++index) {
        const client_target& target = targets[index % targets.size()];
        threads.emplace_back([&state, &target, &connection_results = results[index]] {
            run_connection(state, target, connection_results);
        });
    }
    for (std::thread& thread : threads) {
        thread.join();
    }
    load_outcome outcome;
    outcome.elapsed = duration_cast<microseconds>(std::chrono::steady_clock::now() - state.start);
    outcome.not_sent = state.not_sent;
    outcome.peak_open = state.peak_open;
    for (const std::vector<request_result>& connection_results : results) {
        outcome.results.insert(outcome.results.end(), connection_results.begin(), connection_results.end());
    }
    return outcome;
}

} // namespace samphireway::bench
