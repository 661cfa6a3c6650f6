#include "support/configuration_fleet.h"

#include <criterion/criterion.h>

namespace {

using namespace samphireway;
using namespace std::chrono_literals;

constexpr std::uint64_t first_seed = 1;
constexpr std::uint64_t last_seed = 20;

void expect_no_violations(const testing::configuration_fleet& fleet, std::uint64_t seed)
{
    const std::vector<std::string> violations = configuration::check_history(fleet.history);
    cr_assert(violations.empty(), "seed %lu: %zu violations, first: %s", seed, violations.size(),
              violations.empty() ? "" : violations.front().c_str());
}

/** Runs 12 rounds of edits on 12 nodes for every seed, with faults that `inject_faults` sets before
    each round, and checks the history. */
void run_seeds(const std::function<void(testing::configuration_fleet&, int round)>& inject_faults,
               bool is_reachable)
{
    for (std::uint64_t seed = first_seed; seed <= last_seed; ++seed) {
        testing::configuration_fleet fleet(12, seed);
        fleet.edit("p0", "w", {});
        fleet.run(3s);
        for (int round = 0; round < 12; ++round) {
            inject_faults(fleet, round);
            fleet.edit("p" + std::to_string(fleet.random() % 6), "w" + std::to_string(round), {});
            fleet.run(std::chrono::milliseconds(200 + fleet.random() % 2000), is_reachable);
        }
        fleet.run(6s, is_reachable);
        expect_no_violations(fleet, seed);
    }
}

void restart_random_node(testing::configuration_fleet& fleet)
{
    fleet.start(fleet.nodes[fleet.random() % fleet.nodes.size()]);
}

} // namespace

// Guards against a node that lags or reverts when its watch goes silent, or when answers arrive late
// and out of order.
Test(distribution, silent_and_slow_watches)
{
    run_seeds(
        [](testing::configuration_fleet& fleet, int round) {
            testing::configuration_node& node = fleet.nodes[fleet.random() % fleet.nodes.size()];
            node.is_watch_silent = round % 2 == 0;
            node.maximum_watch_delay = std::chrono::milliseconds(fleet.random() % 4000);
        },
        true);
}

// Guards against an edit that does not get beyond the one node that reaches the platform.
Test(distribution, peers_receive_edits_from_the_only_connected_node)
{
    run_seeds(
        [](testing::configuration_fleet& fleet, int round) {
            const std::size_t reader = fleet.random() % fleet.nodes.size();
            for (std::size_t index = 0; index < fleet.nodes.size() && round % 4 == 0; ++index) {
                fleet.nodes[index].is_platform_cut = index != reader;
            }
        },
        true);
}

// Guards against a node that serves an older configuration after a restart during an outage of the
// platform.
Test(distribution, restart_during_an_outage)
{
    run_seeds(
        [](testing::configuration_fleet& fleet, int round) {
            fleet.store.is_down = round >= 4;
            restart_random_node(fleet);
        },
        false);
}

// Guards against a node that reverts when a partition heals, with restarts and nodes that cannot
// reach the platform during the partition.
Test(distribution, partition_with_restarts_and_outage)
{
    run_seeds(
        [](testing::configuration_fleet& fleet, int round) {
            for (testing::configuration_node& node : fleet.nodes) {
                node.partition = round % 6 < 3 ? 0 : static_cast<int>(fleet.random() % 2);
                node.is_platform_cut = round % 6 >= 3 && node.partition == 1;
            }
            fleet.store.is_down = round % 5 == 4;
            if (round % 3 == 0) {
                restart_random_node(fleet);
            }
        },
        false);
}

// Guards against edits that are lost or applied twice when the platform's answer to a write is lost.
Test(distribution, lost_write_answers_and_paused_nodes)
{
    run_seeds(
        [](testing::configuration_fleet& fleet, int round) {
            fleet.store.lose_answers = round % 3 == 0 ? 1 : 0;
            for (testing::configuration_node& node : fleet.nodes) {
                node.is_running = fleet.random() % 4 != 0;
            }
        },
        false);
}

// Guards against accepting two concurrent edits that expect the same generation.
Test(distribution, concurrent_operators)
{
    for (std::uint64_t seed = first_seed; seed <= last_seed; ++seed) {
        testing::configuration_fleet fleet(3, seed);
        fleet.edit("p", "w", {});
        int accepted_edits = 0;
        for (int round = 1; round <= 20; ++round) {
            fleet.run(200ms);
            accepted_edits += fleet.edit("p", "left", round) ? 1 : 0;
            accepted_edits += fleet.edit("p", "right", round) ? 1 : 0;
        }
        cr_assert_eq(accepted_edits, 20);
        expect_no_violations(fleet, seed);
    }
}

// Guards against a node that drops the configuration in force when an object becomes invalid or is
// removed from the platform.
Test(distribution, invalid_and_removed_objects_keep_the_last_valid_generation)
{
    testing::configuration_fleet fleet(2, 1);
    fleet.edit("p", "w", {});
    fleet.run(1s);
    const std::string key = fleet.history.edits[0].key;
    Json::Value invalid(Json::objectValue);
    invalid["generation"] = 2;
    invalid["plans"]["p"]["workspace"] = "not valid!";
    configuration::distributor& distributor = *fleet.nodes[0].distributor;
    cr_assert(distributor.receive(key, invalid, "", fleet.now) == configuration::acceptance::invalid);
    cr_assert_eq(fleet.nodes[0].repository->current()->find_plan("p")->workspace, "w");
    cr_assert(distributor.lag_report(fleet.now)["rejected"][key]["reason"].asString().find("workspace") !=
              std::string::npos);
    distributor.observe_batch({.revision = 9, .changed = {{.key = key, .version = 9}}}, fleet.now);
    cr_assert(fleet.nodes[0].repository->current()->find_plan("p").has_value());
    cr_assert_eq(distributor.lag_report(fleet.now)["removed_from_platform"][0].asString(), key);
}

// Guards against a checker that accepts a history with a revert, a node that is late, two edits that
// wrote the same generation, or an edit that did not follow the generation that it expected.
Test(configuration_history_checker, rejects_histories_with_violations)
{
    const core::steady_time start{1h};
    configuration::configuration_history valid;
    valid.edits = {{.key = "k", .written_generation = 2, .expected = 1, .at = start}};
    valid.reachable = {{.node = "n", .from = start, .until = start + 10s}};
    valid.served = {{.node = "n", .key = "k", .in_force = 1, .at = start},
                    {.node = "n", .key = "k", .in_force = 2, .at = start + 5s}};
    cr_assert(configuration::check_history(valid).empty());
    configuration::configuration_history reverted = valid;
    reverted.served.push_back({.node = "n", .key = "k", .in_force = 1, .at = start + 6s});
    cr_assert_eq(configuration::check_history(reverted).size(), 1);
    configuration::configuration_history late = valid;
    late.served.back().at += 1ms;
    cr_assert_eq(configuration::check_history(late).size(), 1);
    configuration::configuration_history raced = valid;
    raced.edits.push_back(raced.edits.front());
    cr_assert_eq(configuration::check_history(raced).size(), 1);
    configuration::configuration_history skipped = valid;
    skipped.edits.front().expected = 0;
    cr_assert_eq(configuration::check_history(skipped).size(), 1);
}
