#include "gateway/control/object_follower.h"
#include "settings/settings.h"

#include <atomic>
#include <criterion/criterion.h>
#include <future>
#include <thread>
#include <vector>

namespace {

using namespace samphireway;
using namespace std::chrono_literals;

/** What a follower did. */
struct follower_events {
    std::vector<std::chrono::milliseconds> waits; ///< Of its watch calls.
    int cuts = 0;                                 ///< Watches that counted as cut off.
    int failures = 0;                             ///< Calls that counted as failed.
};

/** Runs a follower whose calls fail where `answers` says so. */
follower_events events_of_calls(const std::vector<bool>& answers)
{
    follower_events seen;
    std::vector<std::chrono::milliseconds>& waits = seen.waits;
    std::mutex mutex;
    std::condition_variable changed;
    platform::object_store store;
    store.watch = [&](const std::string&, platform::object_version after,
                      core::steady_time deadline) -> core::result<platform::watch_batch> {
        const std::lock_guard lock(mutex);
        const std::size_t call = waits.size();
        waits.push_back(
            std::chrono::ceil<std::chrono::milliseconds>(deadline - std::chrono::steady_clock::now()));
        changed.notify_all();
        if (call < answers.size() && !answers[call]) {
            return core::failure(core::error_code::platform_unavailable, "fault of the fake");
        }
        return platform::watch_batch{.revision = after, .changed = {}};
    };
    gateway::object_follower follower(
        {.store = store,
         .prefix = "x/",
         .initial_retry_delay = 1ms,
         .known_position = [] { return platform::store_position{.revision = 1}; },
         .pace = [] { return gateway::follower_pace{.watch_wait = 60s}; },
         .on_batch = [](const gateway::followed_batch&) {},
         .on_cut = [&seen](core::steady_time, core::steady_time) { ++seen.cuts; },
         .on_failure =
             [&seen](const core::error&) {
                 ++seen.failures;
             }});
    follower.start();
    {
        std::unique_lock lock(mutex);
        changed.wait_for(lock, 20s, [&] { return waits.size() >= answers.size(); });
    }
    follower.stop();
    const std::lock_guard lock(mutex);
    waits.resize(std::min(waits.size(), answers.size()));
    return seen;
}

/** Runs a follower for a time against a store that does not keep the history of any revision. Returns the
 * number of its calls. */
int calls_without_history(std::chrono::milliseconds length)
{
    std::atomic<int> calls{0};
    platform::object_store store;
    store.list = [&calls](const std::string&) -> core::result<platform::watch_batch> {
        ++calls;
        return platform::watch_batch{.revision = 5, .changed = {}};
    };
    store.watch = [&calls](const std::string&, platform::object_version,
                           core::steady_time) -> core::result<platform::watch_batch> {
        ++calls;
        return core::failure(core::error_code::history_gone, "fault of the fake");
    };
    gateway::object_follower follower(
        {.store = store,
         .prefix = "x/",
         .known_position = [] { return platform::store_position{.revision = 9}; },
         .pace = [] { return gateway::follower_pace{.maximum_retry_delay = 800ms}; },
         .on_batch = [](const gateway::followed_batch&) {},
         .on_failure =
             [](const core::error&) {
             }});
    follower.start();
    std::this_thread::sleep_for(length);
    follower.stop();
    return calls;
}

/** Runs a follower that knows generation 1 against a store of generation 2. Returns the first batch. */
gateway::followed_batch first_batch_after_a_restore()
{
    std::promise<gateway::followed_batch> received;
    std::atomic<bool> is_received{false};
    platform::object_store store;
    store.list = [](const std::string&) -> core::result<platform::watch_batch> {
        return platform::watch_batch{.revision = 40, .changed = {}, .generation = 2};
    };
    store.watch = [](const std::string&, platform::object_version,
                     core::steady_time) -> core::result<platform::watch_batch> {
        return platform::watch_batch{.revision = 90, .changed = {}, .generation = 2};
    };
    gateway::object_follower follower(
        {.store = store,
         .prefix = "x/",
         .known_position = [] { return platform::store_position{.generation = 1, .revision = 60}; },
         .pace = [] { return gateway::follower_pace{}; },
         .on_batch =
             [&](const gateway::followed_batch& batch) {
                 if (!is_received.exchange(true)) {
                     received.set_value(batch);
                 }
             },
         .on_failure =
             [](const core::error&) {
             }});
    follower.start();
    gateway::followed_batch result = received.get_future().get();
    follower.stop();
    return result;
}

} // namespace

// Guards against a store that is called without a pause, since each of its lists names a revision whose
// history is gone.
Test(object_follower, lists_without_history_are_not_read_without_a_pause)
{
    // The pauses of 200, 400 and 800 ms are each followed by a list and a watch.
    cr_assert_leq(calls_without_history(1500ms), 12);
}

// Guards against changes that are missed, since a restored store has given the watched revision out again.
Test(object_follower, restored_store_is_listed_again, .timeout = 20)
{
    const gateway::followed_batch first = first_batch_after_a_restore();
    cr_assert(first.is_full_list);
    cr_assert_eq(first.batch.revision, 40U);
}

// Guards against a regained contact that is noticed only with the next change: the removals of that change
// were then held as after an outage, and a leaving upstream got requests for too long.
Test(object_follower, first_call_after_a_failure_returns_at_once)
{
    const std::vector<std::chrono::milliseconds> waits =
        events_of_calls({true, true, false, true, true}).waits;
    cr_assert_eq(waits.size(), 5U);
    cr_assert_lt(waits[0], 1s);
    cr_assert_gt(waits[1], 30s);
    cr_assert_gt(waits[2], 30s);
    cr_assert_lt(waits[3], 1s);
    cr_assert_gt(waits[4], 30s);
}

// Guards against a watch that stays open and silent for longer than a node may be out of date: a small fleet
// has no relays whose age tells.
Test(object_follower, silent_watch_is_noticed_while_the_node_may_still_be_out_of_date)
{
    const settings::object_api_settings calls;
    const gateway::follower_options follower;
    cr_assert_leq((calls.watch_wait + calls.call_timeout + follower.initial_retry_delay).count(), 3000);
}

// Guards against a lost contact that is reported for each watch which the store cuts off while it waits.
Test(object_follower, cut_watch_is_no_failure)
{
    const follower_events seen = events_of_calls({true, false, true, false, true, true});
    cr_assert_eq(seen.cuts, 2);
    cr_assert_eq(seen.failures, 0);
}

// Guards against an outage that goes unnoticed: the call after a cut watch fails as well.
Test(object_follower, failed_call_after_a_cut_watch_is_a_failure)
{
    const follower_events seen = events_of_calls({true, false, false, true, true});
    cr_assert_eq(seen.cuts, 1);
    cr_assert_eq(seen.failures, 1);
}

// Guards against a store that is called without a pause, since it cuts off every watch at once.
Test(object_follower, watches_that_are_cut_off_at_once_are_not_repeated_without_a_pause)
{
    std::atomic<int> calls{0};
    platform::object_store store;
    store.watch = [&calls](const std::string&, platform::object_version after,
                           core::steady_time deadline) -> core::result<platform::watch_batch> {
        ++calls;
        if (deadline > std::chrono::steady_clock::now() + 1s) {
            return core::failure(core::error_code::platform_unavailable, "cut off");
        }
        return platform::watch_batch{.revision = after, .changed = {}};
    };
    gateway::object_follower follower(
        {.store = store,
         .prefix = "x/",
         .known_position = [] { return platform::store_position{.revision = 1}; },
         .pace = [] { return gateway::follower_pace{.watch_wait = 60s}; },
         .on_batch = [](const gateway::followed_batch&) {},
         .on_failure =
             [](const core::error&) {
             }});
    follower.start();
    std::this_thread::sleep_for(1500ms);
    follower.stop();
    // Each pause of 200 ms follows a watch and a call that shows whether the API answers.
    cr_assert_leq(calls, 18);
}
