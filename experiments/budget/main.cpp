#include "workload.h"

#include <algorithm>
#include <cstdio>
#include <thread>

namespace {

using namespace samphireway;
using namespace samphireway::experiments;

constexpr std::uint32_t shards = 2;

void print_header()
{
    std::printf("| workload | scheme | requests | refused | false refusals | overspend | calls/s | calls/s "
                "in busiest "
                "10 s | object bytes | most at one node |\n|---|---|---|---|---|---|---|---|---|---|\n");
}

void print(const std::string& name, const char* scheme, const workload_result& result)
{
    constexpr double hundred = 100;
    const double share =
        hundred * static_cast<double>(result.false_refusals) / static_cast<double>(result.requests);
    std::printf("| %s | %s | %llu | %llu | %llu (%.3f%%) | %lld | %.1f | %.1f | %zu | %.1f%% |\n",
                name.c_str(), scheme, static_cast<unsigned long long>(result.requests),
                static_cast<unsigned long long>(result.refusals),
                static_cast<unsigned long long>(result.false_refusals), share,
                static_cast<long long>(result.overspend), result.calls_per_second,
                result.busiest_calls_per_second, result.object_bytes, hundred * result.largest_held_share);
    std::fflush(stdout);
}

void compare(const std::string& name, const workload& load, bool has_baselines)
{
    print(name, "grants",
          run_workload(load, [&](const core::clock& time) { return make_grants(load.nodes, shards, time); }));
    if (!has_baselines) {
        return;
    }
    print(name, "counter per request",
          run_workload(load, [&](const core::clock&) { return make_counter(load.nodes, load.plans); }));
    print(name, "static split",
          run_workload(load, [&](const core::clock&) { return make_static_split(load.nodes, load.plans); }));
}

void run_drains()
{
    std::printf("\nPlans drained to their end\n\n");
    print_header();
    for (const std::uint64_t seed : {1, 2, 3}) {
        compare("1 plan, 40/s, seed " + std::to_string(seed), {.plans = 1, .seed = seed}, true);
    }
    for (const std::uint64_t seed : {1, 2, 3}) {
        compare("10 plans that end together, 40/s, seed " + std::to_string(seed), {.seed = seed}, true);
    }
    compare("80% of each plan's requests in one zone", {.preferred_zone_share = 0.8}, true);
}

void run_partitions()
{
    using std::chrono::seconds;
    std::printf("\nHour-long partition from the platform\n\n");
    print_header();
    // The partition starts after ten minutes of the same load. The budget that is left then covers the
    // expected use in the time `left`. The rows differ in the share of it that the hour needs.
    const struct {
        const char* name;
        seconds left;
        std::size_t zones_cut;
    } rows[] = {{"1 of 4 zones cut, hour needs 50% of what is left", seconds(7200), 1},
                {"1 of 4 zones cut, hour needs 90% of what is left", seconds(4000), 1},
                {"all zones cut, hour needs 90% of what is left", seconds(4000), 4}};
    for (const auto& row : rows) {
        compare(row.name,
                {.requests_per_second = 10,
                 .drained_after = row.left + seconds(600),
                 .length = seconds(4300),
                 .cut_from = seconds(600),
                 .cut_length = seconds(3600),
                 .zones_cut = row.zones_cut,
                 .identified_every = 10},
                true);
    }
}

void run_sizes()
{
    std::printf("\nSizes\n\n");
    print_header();
    for (const std::size_t nodes : {4, 8, 16, 32}) {
        compare(std::to_string(nodes) + " nodes, 10 plans, 40/s", {.nodes = nodes}, false);
    }
    for (const std::size_t plans : {5, 10, 20, 40}) {
        compare("8 nodes, " + std::to_string(plans) + " plans, 40/s", {.plans = plans}, false);
    }
    for (const int rate : {10, 20, 40, 80}) {
        compare("8 nodes, 10 plans, " + std::to_string(rate) + "/s",
                {.requests_per_second = static_cast<double>(rate)}, false);
    }
}

/**
    Measures reservations on a number of threads while no platform call is due, and prints percentiles
    of their time.
*/
void measure_reserve(int threads)
{
    constexpr int count = 200000;
    constexpr escrow::amount limit = 1'000'000'000'000;
    testing::fake_object_store store;
    escrow::ledger_client client(budget::grant_pool::object_key(0));
    (void)client.update(store.hooks(), [](escrow::ledger& ledger) {
        ledger.accounts["plan"].deposits["first"] = limit;
        return true;
    });
    budget::grant_pool grant_pool({.holder = "node", .draw = {.minimum_draw = limit / 4}});
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::hours(1);
    const budget::waiting_request first = grant_pool.start_waiting("plan", 1, deadline);
    while (!grant_pool.try_waiting(first, std::chrono::steady_clock::now())) {
        for (const budget::shard_update& update :
             grant_pool.collect_updates(std::chrono::steady_clock::now())) {
            grant_pool.finish_update(update, *budget::execute_update(client, store.hooks(), update));
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    std::vector<std::vector<std::int64_t>> times(static_cast<std::size_t>(threads));
    std::vector<std::thread> workers;
    for (std::vector<std::int64_t>& own : times) {
        workers.emplace_back([&own, &grant_pool] {
            own.reserve(count);
            for (int index = 0; index < count; ++index) {
                const auto before = std::chrono::steady_clock::now();
                const core::result<budget::reservation> held = grant_pool.reserve("plan", 1000);
                const auto after = std::chrono::steady_clock::now();
                own.push_back(std::chrono::duration_cast<std::chrono::nanoseconds>(after - before).count());
                if (held) {
                    grant_pool.settle(*held, 1);
                }
            }
        });
    }
    std::vector<std::int64_t> all;
    for (std::size_t index = 0; index < workers.size(); ++index) {
        workers[index].join();
        all.insert(all.end(), times[index].begin(), times[index].end());
    }
    std::sort(all.begin(), all.end());
    std::printf("| %d | %zu | %lld | %lld | %lld |\n", threads, all.size(),
                static_cast<long long>(all[all.size() / 2]),
                static_cast<long long>(all[all.size() * 99 / 100]),
                static_cast<long long>(all[all.size() * 999 / 1000]));
}

} // namespace

int main(int count, char** arguments)
{
    const std::string part = count > 1 ? arguments[1] : "all";
    if (part == "all" || part == "drains") {
        run_drains();
    }
    if (part == "all" || part == "partitions") {
        run_partitions();
    }
    if (part == "all" || part == "sizes") {
        run_sizes();
    }
    if (part != "all" && part != "reserve") {
        return 0;
    }
    std::printf(
        "\ngrant_pool::reserve, no platform call due, in ns\n\n| threads | calls | median | p99 | p99.9 "
        "|\n|---|---|---|---|---|\n");
    measure_reserve(1);
    measure_reserve(4);
    return 0;
}
