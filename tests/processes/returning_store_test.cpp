#include "processes/store_drill.h"

#include <criterion/criterion.h>
#include <csignal>
#include <cstdio>
#include <random>
#include <thread>

namespace {

using namespace samphireway::testing;
using namespace std::chrono_literals;
using stage::steady;

// The bound of the platform's rules between the acknowledged leaving of an upstream and its last request.
constexpr std::chrono::milliseconds drain_time{2000};
// An entry that is missing counts as gone only this long after the return of the store, as upstreams whose
// entries expired meanwhile register again until then.
constexpr std::chrono::milliseconds registration_time{2000};
// Requests are counted this long after the bound.
constexpr std::chrono::milliseconds counted_time{6000};
// What the store lost is written again this long after its return.
constexpr std::chrono::milliseconds rewrite_time{3000};
// The nodes watch as many kinds of objects, and a list answers what a lost history leaves open.
constexpr int watched_kinds = 5;

void wait_ready(store_drill& drill)
{
    for (const auto& node : drill.nodes) {
        cr_assert(node->wait_ready(10s), "%s", node->describe_end().c_str());
    }
    // Time in which the nodes learn of each other.
    std::this_thread::sleep_for(drill.nodes.size() > 1 ? 3s : 0s);
    drill.start_load();
    std::this_thread::sleep_for(1s);
}

/** Checks that no request reaches an upstream later than the bound after its leaving, while others are
 * served. */
void check_drained(store_drill& drill, drill_upstream& upstream, steady::time_point left)
{
    std::this_thread::sleep_until(std::max(left + drain_time, steady::now()) + counted_time);
    const int late = upstream.arrivals_after(left + drain_time);
    std::printf("late at the upstream: %d; served %d of %d; calls answered 410: %d\n", late,
                drill.served.load(), drill.sent.load(), drill.store.count_answered(410));
    cr_expect_eq(late, 0, "%d late requests; %s", late, drill.describe().c_str());
    // One request per node may be under way.
    cr_expect_geq(drill.served.load() + static_cast<int>(drill.nodes.size()), drill.sent.load(), "%d of %d",
                  drill.served.load(), drill.sent.load());
}

void check_calls(store_drill& drill)
{
    const int gone = drill.store.count_answered(410);
    cr_expect_leq(gone, watched_kinds * static_cast<int>(drill.nodes.size()), "%d calls answered 410", gone);
}

/** The store comes back with lower revisions; then the upstream leaves. */
void leave_after_return(int node_count)
{
    store_drill drill(node_count);
    wait_ready(drill);
    drill.store.copy();
    drill.store.add_changes(60);
    drill.write(drill.second, "draining"); // Lets the nodes know a revision that the copy does not have.
    std::this_thread::sleep_for(2s);
    drill.return_from_copy([&drill] { drill.write(drill.second, "ready", 1); });
    drill.write(drill.first, "draining");
    check_drained(drill, drill.first, steady::now());
    check_calls(drill);
}

/** The nodes know a leaving that the copy lacks, until it is written again. */
void forget_known_leaving(int node_count)
{
    store_drill drill(node_count);
    wait_ready(drill);
    drill.store.copy();
    drill.write(drill.first, "draining");
    const auto left = steady::now();
    std::this_thread::sleep_for(2500ms);
    drill.return_from_copy();
    std::this_thread::sleep_for(rewrite_time);
    drill.write(drill.first, "draining");
    check_drained(drill, drill.first, left);
    check_calls(drill);
}

} // namespace

// Guards against a node that ignores all that a store says which has come back from a copy with lower
// revisions.
Test(returning_store, leaving_after_a_return_with_lower_revisions_is_known, .timeout = 60)
{
    leave_after_return(1);
}

// Guards against a leaving that a relay does not pass on. Run by hand with another build, it covers an
// upgrade.
Test(returning_store, leaving_is_known_through_a_relay, .timeout = 60)
{
    store_drill drill(3);
    wait_ready(drill);
    drill.write(drill.first, "draining");
    check_drained(drill, drill.first, steady::now());
    check_calls(drill);
}

// Guards against the same in a fleet whose nodes follow a relay.
Test(returning_store, leaving_after_a_return_is_known_through_a_relay, .timeout = 60)
{
    leave_after_return(3);
}

// Guards against a node that watches on from a revision that has been given out again, and so misses changes.
Test(returning_store, leaving_below_a_revision_that_exists_again_is_known, .timeout = 60)
{
    store_drill drill;
    wait_ready(drill);
    drill.store.copy();
    drill.store.add_changes(60);
    std::this_thread::sleep_for(3s);
    drill.return_from_copy([&drill] {
        drill.write(drill.first, "draining");
        drill.store.add_changes(80);
    });
    check_drained(drill, drill.first, steady::now());
    check_calls(drill);
}

// Guards against a copy that makes an upstream usable again whose leaving the node has known.
Test(returning_store, known_leaving_is_kept_when_the_copy_lacks_it, .timeout = 60)
{
    forget_known_leaving(1);
}

// Guards against the same in a fleet whose nodes follow a relay.
Test(returning_store, known_leaving_is_kept_through_a_relay, .timeout = 60)
{
    forget_known_leaving(3);
}

// Guards against a copy that brings back an upstream whose entry had been removed.
Test(returning_store, removed_upstream_does_not_come_back_from_the_copy, .timeout = 60)
{
    store_drill drill;
    wait_ready(drill);
    drill.store.copy();
    drill.store.remove("servers", drill.first.id);
    const auto left = steady::now();
    std::this_thread::sleep_for(2500ms);
    drill.return_from_copy();
    std::this_thread::sleep_for(rewrite_time);
    drill.store.remove("servers", drill.first.id);
    check_drained(drill, drill.first, left);
    check_calls(drill);
}

// Guards against an upstream that stays unused for good after a return although it has started again.
Test(returning_store, restarted_upstream_is_used_after_a_return, .timeout = 60)
{
    store_drill drill;
    wait_ready(drill);
    drill.store.copy();
    drill.write(drill.first, "draining");
    std::this_thread::sleep_for(2500ms);
    drill.return_from_copy();
    std::this_thread::sleep_for(rewrite_time);
    drill.write(drill.first, "draining");
    std::this_thread::sleep_for(2s);
    const auto restarted = steady::now();
    drill.write(drill.first, "ready", 1);
    std::this_thread::sleep_for(5s);
    cr_expect_gt(drill.first.arrivals_after(restarted), 0, "%s", drill.describe().c_str());
}

// Guards against a node that the others no longer know, since its registration was lost with the copy.
Test(returning_store, node_registers_again_when_the_copy_lacks_it, .timeout = 60)
{
    store_drill drill(0);
    drill.store.copy();
    drill.nodes.push_back(std::make_unique<gateway_process>(gateway_process_options{
        .id = "node-1", .store_port = drill.store.port(), .directory = drill.directory.path}));
    wait_ready(drill);
    cr_assert(drill.store.holds("members", "node-1"));
    drill.return_from_copy();
    std::this_thread::sleep_for(5s);
    cr_expect(drill.store.holds("members", "node-1"), "%s", drill.describe().c_str());
}

// Guards against what one return leaves behind for the next: returns, leavings and restarts in a series.
Test(returning_store, series_of_returns_brings_no_leaving_upstream_back, .timeout = 120)
{
    constexpr int rounds = 4;
    store_drill drill(2);
    wait_ready(drill);
    std::mt19937 random(static_cast<unsigned>(drill_seed()));
    const auto below = [&random](int bound) {
        return static_cast<int>(random() % static_cast<unsigned>(bound));
    };
    int late = 0;
    for (int round = 0; round < rounds; ++round) {
        const bool is_removed = below(2) == 0;
        const bool is_known = below(2) == 0;
        std::this_thread::sleep_for(std::chrono::milliseconds(below(500)));
        drill.store.copy();
        drill.store.add_changes(below(100));
        const auto leave = [&] {
            if (is_removed) {
                drill.store.remove("servers", drill.first.id);
            }
            else {
                drill.write(drill.first, "draining", round);
            }
        };
        auto left = steady::now();
        if (is_known) {
            leave();
            std::this_thread::sleep_for(2500ms);
        }
        if (below(3) == 0) {
            drill.nodes[0]->signal(SIGHUP);
        }
        drill.return_from_copy([&drill, &below] { drill.store.add_changes(below(150)); });
        if (below(3) == 0) {
            drill.return_from_copy();
        }
        const auto returned = steady::now();
        std::this_thread::sleep_for(std::chrono::milliseconds(below(3000)));
        if (!is_known) {
            left = is_removed ? std::max(steady::now(), returned + registration_time) : steady::now();
        }
        leave();
        std::this_thread::sleep_until(std::max(left + drain_time, steady::now()) + 2s);
        late += drill.first.arrivals_after(left + drain_time);
        std::printf("seed %d, round %d: removed %d, known %d, late so far %d\n", drill_seed(), round,
                    is_removed, is_known, late);
        const auto restarted = steady::now();
        drill.write(drill.first, "ready", round + 1);
        std::this_thread::sleep_for(4s);
        cr_expect_gt(drill.first.arrivals_after(restarted), 0, "round %d: not used after its restart; %s",
                     round, drill.describe().c_str());
    }
    cr_expect_eq(late, 0, "%d late requests; %s", late, drill.describe().c_str());
}
