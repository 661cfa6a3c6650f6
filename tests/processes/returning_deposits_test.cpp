#include "processes/budget_drill.h"

#include <criterion/criterion.h>
#include <cstdio>
#include <functional>

namespace {

using namespace samphireway::testing;
using namespace std::chrono_literals;

constexpr std::int64_t first_prepaid = 300'000;
constexpr std::int64_t raised_prepaid = 9'000'000;
// The time after which a node counts as in touch again, and in which a configuration must be in force.
constexpr std::chrono::milliseconds settled_time{5000};
constexpr std::chrono::milliseconds counted_time{4000};

/** Checks that no node answers that a budget is exhausted which is not, while most requests are served. */
void check_served(budget_drill& drill)
{
    std::this_thread::sleep_for(settled_time);
    const auto from = stage::steady::now();
    std::this_thread::sleep_for(counted_time);
    drill.stop_load();
    const std::vector<budget_drill::node_counts> counts = drill.counts_since(from);
    for (std::size_t node = 0; node < counts.size(); ++node) {
        std::printf("node %zu: served %d, exhausted %d, others %d\n", node, counts[node].served,
                    counts[node].exhausted, counts[node].others);
        cr_expect_eq(counts[node].exhausted, 0, "node %zu: %d; %s", node, counts[node].exhausted,
                     drill.describe().c_str());
        cr_expect_geq(counts[node].served, 9 * counts[node].others, "node %zu: %d, %d; %s", node,
                      counts[node].served, counts[node].others, drill.describe().c_str());
        cr_expect_gt(counts[node].served, 0);
    }
}

} // namespace

// Guards against a paid amount that is refused for good, since the store lost the deposit that a node had
// made sure of.
Test(returning_deposits, lost_top_up_is_deposited_again, .timeout = 60)
{
    budget_drill drill(first_prepaid);
    drill.wait_ready();
    drill.start_load(250ms);
    std::this_thread::sleep_for(1s);
    drill.store.copy();
    drill.raise_prepaid(raised_prepaid);
    drill.write_configuration();
    std::this_thread::sleep_for(2500ms);
    drill.return_from_copy([&drill] { drill.write_configuration(); });
    check_served(drill);
}

// Guards against the same when the configuration with the raised amount is written again only later.
Test(returning_deposits, lost_top_up_is_deposited_again_before_the_configuration_is_back, .timeout = 60)
{
    budget_drill drill(first_prepaid);
    drill.wait_ready();
    drill.start_load(250ms);
    std::this_thread::sleep_for(1s);
    drill.store.copy();
    drill.raise_prepaid(raised_prepaid);
    drill.write_configuration();
    std::this_thread::sleep_for(2500ms);
    drill.return_from_copy([] {});
    std::this_thread::sleep_for(1500ms);
    drill.write_configuration();
    check_served(drill);
}

// Guards against requests without a budget for good, since the store lost all accounts.
Test(returning_deposits, accounts_are_created_again_that_the_copy_lacks, .timeout = 60)
{
    budget_drill drill(raised_prepaid, 0);
    drill.store.copy();
    for (int count = 0; count < 3; ++count) {
        drill.start_node();
    }
    drill.wait_ready();
    drill.start_load(250ms);
    std::this_thread::sleep_for(2s);
    drill.return_from_copy([&drill] { drill.write_configuration(); });
    check_served(drill);
}
