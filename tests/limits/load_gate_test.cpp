#include "limits/load_cluster.h"

#include <criterion/criterion.h>
#include <random>

namespace {

using namespace samphireway;
using namespace std::chrono_literals;
using testing::load_cluster;

} // namespace

// Guards against more requests in flight over all nodes than agreed, while the store loses answers and writes
// or is down, and a node joins.
Test(load_gate, sum_over_nodes_stays_within_the_agreed_load)
{
    for (std::uint32_t seed = 1; seed <= 20; ++seed) {
        std::mt19937 random(seed);
        load_cluster cluster(3);
        const auto pick = [&](std::size_t bound) {
            return random() % bound;
        };
        for (int step = 0; step < 600; ++step) {
            const std::size_t index = pick(cluster.nodes.size());
            testing::load_node& node = *cluster.nodes[index];
            cluster.store.lose_answers = pick(20) == 0 ? 1 : cluster.store.lose_answers;
            cluster.store.lose_writes = pick(20) == 0 ? 1 : cluster.store.lose_writes;
            cluster.store.is_down = pick(10) == 0;
            if (step == 300) {
                cluster.add_node();
                cluster.set_agreed_load(10, 1000, 1);
            }
            cluster.admit_requests(index, static_cast<int>(pick(4)), 100);
            if (pick(2) == 0 && !node.slots.empty()) {
                node.slots.pop_back();
            }
            cluster.run(250ms, {index});
            cr_assert_leq(cluster.in_flight(), 10, "seed %u step %d", seed, step);
        }
    }
}

// Guards against shares that stay with their holder: a node that joins while the agreed load is in use must
// get an equal share.
Test(load_gate, shares_move_to_a_node_that_joins)
{
    load_cluster cluster(1);
    cluster.admit_requests(0, 1, 10);
    cluster.run(1s, {0});
    cluster.admit_requests(0, 20, 10);
    cluster.run(1s, {0});
    cluster.admit_requests(0, 20, 10);
    cr_assert_eq(cluster.in_flight(), 10);
    cluster.add_node();
    cluster.set_agreed_load(10, 1000, 1);
    for (int round = 0; round < 100; ++round) {
        cluster.nodes[0]->slots.erase(cluster.nodes[0]->slots.begin());
        cluster.run(250ms, {0, 1});
        cluster.admit_requests(0, 10, 10);
        cluster.admit_requests(1, 10, 10);
        cr_assert_leq(cluster.in_flight(), 10);
    }
    cr_assert_eq(cluster.nodes[1]->slots.size(), 5);
}

// Guards against admissions above a lowered agreed load, and against a node with an old configuration that
// raises the limit again.
Test(load_gate, lowered_agreed_load_limits_new_admissions)
{
    load_cluster cluster(2);
    for (int round = 0; round < 40; ++round) {
        cluster.admit_requests(0, 5 - static_cast<int>(cluster.nodes[0]->slots.size()), 10);
        cluster.admit_requests(1, 5 - static_cast<int>(cluster.nodes[1]->slots.size()), 10);
        cluster.run(250ms, {0, 1});
    }
    cr_assert_eq(cluster.in_flight(), 10);
    cluster.set_agreed_load_at(*cluster.nodes[0], 4, 1000, 2);
    cluster.run(10s, {0, 1});
    cr_assert_eq(cluster.in_flight(), 10);
    for (int ended = 0; ended < 10; ++ended) {
        std::vector<limits::slot>& slots = cluster.nodes[static_cast<std::size_t>(ended) % 2]->slots;
        slots.pop_back();
        const limits::amount left = cluster.in_flight();
        cluster.run(4s, {0, 1});
        cluster.admit_requests(0, 10, 10);
        cluster.admit_requests(1, 10, 10);
        cr_assert_leq(cluster.in_flight(), std::max<limits::amount>(left, 4));
        if (left <= 4) {
            break;
        }
    }
    cluster.run(10s, {0, 1});
    cluster.admit_requests(0, 10, 10);
    cluster.admit_requests(1, 10, 10);
    cr_assert_leq(cluster.in_flight(), 4);
    cr_assert_geq(cluster.in_flight(), 3);
}

// Guards against releasing a paused node's share while one of its requests may still run, and against that
// node sending requests on a share that was released to others.
Test(load_gate, share_of_a_paused_node_is_released_after_lease_and_request_deadline)
{
    load_cluster cluster(2);
    cluster.admit_requests(0, 20, 10);
    cluster.run(1s, {0});
    cr_assert_eq(cluster.admit_requests(0, 10, 10), 10);
    cluster.admit_requests(1, 10, 10);
    cluster.run(94s, {1});
    cluster.admit_requests(1, 10, 10);
    cr_assert(cluster.nodes[1]->slots.empty());
    cr_assert(!cluster.nodes[0]->slots.front().may_send());
    cluster.admit_requests(1, 10, 10);
    cluster.run(5s, {1});
    cr_assert_eq(cluster.admit_requests(1, 10, 10), 10);
    cr_assert(!cluster.nodes[0]->gate.admit("engine", 10).has_value());
    cluster.run(1s, {0});
    cr_assert(!cluster.nodes[0]->slots.front().may_send());
    cluster.nodes[0]->slots.clear();
    cr_assert_eq(cluster.admit_requests(0, 10, 10), 0);
}

// Guards against an operator's release after which other nodes cannot use the share, or which the released
// node undoes when it returns.
Test(load_gate, operator_releases_shares_of_a_dead_node)
{
    load_cluster cluster(2);
    cluster.admit_requests(0, 20, 10);
    cluster.run(1s, {0});
    cr_assert_eq(cluster.admit_requests(0, 10, 10), 10);
    const core::result<int> released = limits::release_holder(cluster.store.hooks(), 1, "node-0");
    cr_assert(released.has_value() && *released == 1);
    cluster.admit_requests(1, 10, 10);
    cluster.run(1s, {1});
    cr_assert_eq(cluster.admit_requests(1, 10, 10), 10);
    cluster.run(4s, {0});
    cr_assert(!cluster.nodes[0]->slots.front().may_send());
}

// Guards against a planned stop that leaves shares granted to the stopped node.
Test(load_gate, drain_returns_all_shares)
{
    load_cluster cluster(2);
    cluster.admit_requests(0, 20, 10);
    cluster.run(1s, {0});
    cr_assert_eq(cluster.admit_requests(0, 10, 10), 10);
    cluster.nodes[0]->gate.start_drain();
    cluster.run(1s, {0});
    cr_assert(!cluster.nodes[0]->gate.is_drained());
    cluster.nodes[0]->slots.clear();
    cluster.run(1s, {0});
    cr_assert(cluster.nodes[0]->gate.is_drained());
    cluster.admit_requests(1, 20, 10);
    cluster.run(1s, {1});
    cr_assert_eq(cluster.admit_requests(1, 10, 10), 10);
}

// Guards against an overload error without a retry delay, and against queueing a request that no upstream can
// ever admit.
Test(load_gate, refusals_carry_error_code_and_retry_delay)
{
    load_cluster cluster(1);
    const core::result<limits::slot> full =
        cluster.nodes[0]->gate.admit(std::vector<std::string>{"engine"}, {.workspace = "a", .estimate = 10});
    cr_assert_eq(full.error().code, core::error_code::overloaded);
    cr_assert_eq(full.error().run, core::verdict::not_run);
    cr_assert_geq(full.error().retry_after.count(), 1000);
    const core::result<limits::slot> large = cluster.nodes[0]->gate.admit(
        std::vector<std::string>{"engine"}, {.workspace = "a", .estimate = 1001});
    cr_assert_eq(large.error().code, core::error_code::payload_too_large);
}
