#include "processes/budget_drill.h"

#include <criterion/criterion.h>
#include <csignal>
#include <cstdio>
#include <functional>

namespace {

using namespace samphireway::testing;
using namespace std::chrono_literals;

constexpr std::int64_t prepaid = 1'500'000;
// A request is owed if it fits into this share of what is prepaid.
constexpr std::int64_t owed_percent = 97;

/** Sends requests until the budget is used up, and checks that neither more nor much less was delivered. */
void check_used_up(budget_drill& drill, std::chrono::milliseconds time)
{
    std::this_thread::sleep_for(time);
    drill.stop_load();
    const std::int64_t delivered = drill.delivered();
    std::printf("delivered %ld of %ld\n", delivered, prepaid);
    cr_expect_leq(delivered, prepaid, "%ld; %s", delivered, drill.describe().c_str());
    cr_expect_gt(delivered + 2 * budget_drill::request_tokens, prepaid * owed_percent / 100, "%ld; %s",
                 delivered, drill.describe().c_str());
}

} // namespace

// Guards against a prepaid amount that is given out twice, since the store lost the entries of all holders.
Test(returning_budget, use_before_the_first_entry_of_the_copy_is_kept, .timeout = 60)
{
    budget_drill drill(prepaid);
    drill.wait_ready();
    drill.store.copy();
    drill.start_load(250ms);
    std::this_thread::sleep_for(3200ms);
    drill.return_from_copy([&drill] { drill.write_configuration(); });
    check_used_up(drill, 16s);
}

// Guards against the same when the copy lacks the ledger object itself.
Test(returning_budget, use_is_kept_when_the_copy_lacks_the_ledger, .timeout = 60)
{
    budget_drill drill(prepaid, 0);
    drill.write_configuration();
    drill.store.copy();
    for (int count = 0; count < 3; ++count) {
        drill.start_node();
    }
    drill.wait_ready();
    drill.start_load(250ms);
    std::this_thread::sleep_for(2500ms);
    drill.return_from_copy([&drill] { drill.write_configuration(); });
    check_used_up(drill, 16s);
}

// Guards against the same when the copy has older entries, and when the store returns twice within a second.
Test(returning_budget, use_is_kept_over_two_returns, .timeout = 60)
{
    budget_drill drill(prepaid);
    drill.wait_ready();
    drill.start_load(250ms);
    std::this_thread::sleep_for(1s);
    drill.store.copy();
    std::this_thread::sleep_for(2s);
    drill.return_from_copy([&drill] { drill.write_configuration(); });
    std::this_thread::sleep_for(100ms);
    drill.return_from_copy([&drill] { drill.write_configuration(); });
    check_used_up(drill, 16s);
}

// Guards against the same when a process ends without a stop right before the return, and its successor
// starts right after it.
Test(returning_budget, use_is_kept_when_a_node_is_killed_beside_the_return, .timeout = 60)
{
    budget_drill drill(prepaid);
    drill.wait_ready();
    drill.store.copy();
    drill.start_load(250ms);
    std::this_thread::sleep_for(2500ms);
    drill.nodes[2]->signal(SIGKILL);
    cr_assert(drill.nodes[2]->wait_end(2s));
    drill.return_from_copy([&drill] { drill.write_configuration(); });
    drill.nodes[2]->start();
    std::this_thread::sleep_for(16s);
    drill.stop_load();
    const std::int64_t delivered = drill.delivered();
    std::printf("delivered %ld of %ld\n", delivered, prepaid);
    // What the killed process held is lost to its workspace.
    cr_expect_leq(delivered, prepaid, "%ld; %s", delivered, drill.describe().c_str());
    cr_expect_gt(delivered, prepaid / 2, "%ld; %s", delivered, drill.describe().c_str());
}
