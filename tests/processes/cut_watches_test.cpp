#include "processes/store_drill.h"

#include <criterion/criterion.h>
#include <cstdio>
#include <thread>

namespace {

using namespace samphireway::testing;
using namespace std::chrono_literals;
using stage::steady;

// The bound of the platform's rules between the acknowledged removal of an upstream and its last request.
constexpr std::chrono::milliseconds drain_time{2000};

/** An upstream's entry is removed and written again several times, while the store cuts off watches. Returns
 * the number of late requests. */
int count_late(store_drill& drill, int rounds)
{
    for (const auto& node : drill.nodes) {
        cr_assert(node->wait_ready(10s), "%s", node->describe_end().c_str());
    }
    std::this_thread::sleep_for(3s);
    drill.start_load();
    std::this_thread::sleep_for(2s);
    int late = 0;
    for (int round = 1; round <= rounds; ++round) {
        drill.store.remove("servers", drill.first.id);
        const auto removed = steady::now();
        std::this_thread::sleep_for(drain_time + 1500ms);
        const int late_now = drill.first.arrivals_after(removed + drain_time);
        const auto restarted = steady::now();
        drill.write(drill.first, "ready", round);
        std::this_thread::sleep_for(std::chrono::milliseconds(1500 + 130 * round));
        std::printf("round %d: late %d, after its restart %d\n", round, late_now,
                    drill.first.arrivals_after(restarted));
        cr_expect_gt(drill.first.arrivals_after(restarted), 0, "round %d: not used again", round);
        late += late_now;
    }
    std::printf("watches cut off: %d; served %d of %d\n", drill.store.count_cut(), drill.served.load(),
                drill.sent.load());
    cr_expect_gt(drill.store.count_cut(), 10);
    // One request per node may be under way.
    cr_expect_geq(drill.served.load() + static_cast<int>(drill.nodes.size()), drill.sent.load());
    return late;
}

} // namespace

// Guards against removals that act late, since each watch which the store cuts off counts as an outage, in
// which entries of running upstreams expire.
Test(cut_watches, removal_acts_in_time_while_watches_are_cut_off, .timeout = 60)
{
    store_drill drill(2);
    drill.store.cut_watches(600ms, 2400ms);
    const int late = count_late(drill, 5);
    cr_expect_eq(late, 0, "%d late requests; %s", late, drill.describe().c_str());
}

// Guards against the same when no watch lives as long as it may wait.
Test(cut_watches, removal_acts_in_time_while_every_watch_is_cut_off, .timeout = 60)
{
    store_drill drill(2);
    drill.store.cut_watches(300ms, 900ms);
    const int late = count_late(drill, 5);
    cr_expect_eq(late, 0, "%d late requests; %s", late, drill.describe().c_str());
}

// Guards against the same in a fleet whose nodes follow a relay.
Test(cut_watches, removal_acts_in_time_behind_a_relay, .timeout = 60)
{
    store_drill drill(3);
    drill.store.cut_watches(300ms, 900ms);
    const int late = count_late(drill, 5);
    cr_expect_eq(late, 0, "%d late requests; %s", late, drill.describe().c_str());
}
