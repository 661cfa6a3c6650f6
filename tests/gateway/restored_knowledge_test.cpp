#include "gateway/control/member_tracker.h"
#include "gateway/control/upstream_tracker.h"
#include "gateway/rollout/rollout_tracker.h"

#include <criterion/criterion.h>

namespace {

using namespace samphireway;
using namespace std::chrono_literals;
using gateway::followed_batch;
using gateway::rollout_state;

constexpr core::steady_time start{1h};
// Longer than what was lost may take to be written again.
constexpr std::chrono::seconds long_after{20};

/** Decodes entries of the form {"draining": bool, "started": int}. */
core::result<gateway::upstream> read_entry(const platform::object& entry)
{
    return gateway::upstream{.id = platform::object_name(entry.key),
                             .service = "desk",
                             .is_draining = core::boolean_member(entry.value, "draining"),
                             .started_at_ms = core::integer_member(entry.value, "started")};
}

platform::object entry(const std::string& id, std::int64_t started, bool is_draining = false)
{
    Json::Value value;
    value["draining"] = is_draining;
    value["started"] = static_cast<Json::Int64>(started);
    return {.key = "servers/" + id, .version = 1, .value = value};
}

platform::object removal(const std::string& id)
{
    return {.key = "servers/" + id, .version = 2, .value = {}};
}

followed_batch changes(std::vector<platform::object> objects)
{
    return {.batch = {.revision = 1, .changed = std::move(objects)}};
}

followed_batch listing(std::vector<platform::object> objects, bool is_after_restore = false)
{
    return {.batch = {.revision = 1, .changed = std::move(objects)},
            .is_full_list = true,
            .is_after_restore = is_after_restore};
}

/** Returns the entry of an upstream that may get requests, or nothing. */
std::shared_ptr<const gateway::upstream> find_usable(const gateway::upstream_tracker& tracker,
                                                     const std::string& id)
{
    const auto table = tracker.table();
    const auto service = table->by_service.find("desk");
    if (service == table->by_service.end()) {
        return nullptr;
    }
    for (const auto& known : service->second) {
        if (known->id == id && !known->is_draining) {
            return known;
        }
    }
    return nullptr;
}

/** Knows an upstream that ran and then left in one of the ways that the platform has. */
gateway::upstream_tracker tracker_that_knows_a_leaving(bool is_drained, bool is_removed)
{
    gateway::upstream_tracker tracker(read_entry);
    tracker.apply(listing({entry("a", 100), entry("b", 100)}), start);
    if (is_drained) {
        tracker.apply(changes({entry("a", 100, true)}), start + 1s);
    }
    if (is_removed) {
        tracker.apply(changes({removal("a")}), start + 2s);
    }
    return tracker;
}

platform::object member_of(const std::string& id, const std::string& process)
{
    return {.key = "members/" + id,
            .version = 1,
            .value = gateway::to_json(gateway::member{
                .id = id, .address = "10.0.0.1", .port = 7200, .token = "t" + process, .process = process})};
}

platform::object order(rollout_state state)
{
    Json::Value status;
    status["state"] = std::string(gateway::to_string(state));
    Json::Value value(Json::objectValue);
    return {.key = "rollouts/s", .version = 1, .value = value, .status = status};
}

gateway::rollout_tracker make_rollout_tracker()
{
    return gateway::rollout_tracker(
        [](const platform::object& stored) -> core::result<gateway::rollout_order> {
            gateway::rollout_order result{
                .service = "s", .target = "v2", .duration = 15s, .revision = stored.version};
            for (const rollout_state state :
                 {rollout_state::running, rollout_state::completed, rollout_state::rolled_back}) {
                if (stored.status["state"].asString() == gateway::to_string(state)) {
                    result.state = state;
                }
            }
            return result;
        });
}

} // namespace

// Guards against requests to an upstream that leaves, since a copy of the store, or a late write, says that
// its process is ready.
Test(restored_knowledge, process_that_drained_is_never_ready_again)
{
    gateway::upstream_tracker tracker = tracker_that_knows_a_leaving(true, false);
    tracker.apply(changes({entry("a", 100)}), start + 2s);
    cr_expect_null(find_usable(tracker, "a").get());
    tracker.apply(listing({entry("a", 100), entry("b", 100)}, true), start + 3s);
    cr_expect_null(find_usable(tracker, "a").get());
    tracker.apply(changes({entry("a", 100)}), start + long_after);
    cr_expect_null(find_usable(tracker, "a").get());
    tracker.apply(changes({entry("a", 200)}), start + long_after + 1s);
    cr_expect_not_null(find_usable(tracker, "a").get(), "the upstream has started again");
}

// Guards against the same after its entry was removed.
Test(restored_knowledge, removed_process_does_not_come_back_from_a_copy)
{
    for (const bool is_drained : {false, true}) {
        gateway::upstream_tracker tracker = tracker_that_knows_a_leaving(is_drained, true);
        tracker.apply(listing({entry("a", 100), entry("b", 100)}, true), start + 3s);
        tracker.apply(changes({entry("a", 100)}), start + 5s);
        cr_expect_null(find_usable(tracker, "a").get());
        tracker.apply(changes({removal("a")}), start + 6s);
        cr_expect_not(tracker.expire(start + long_after));
        cr_expect_null(find_usable(tracker, "a").get());
    }
}

// Guards against a running upstream that stays unused for good, since its entry had expired before the
// restore.
Test(restored_knowledge, process_whose_entry_outlives_the_doubt_is_used_again)
{
    gateway::upstream_tracker tracker = tracker_that_knows_a_leaving(false, true);
    tracker.apply(listing({entry("a", 100), entry("b", 100)}, true), start + 3s);
    cr_expect_null(find_usable(tracker, "a").get());
    cr_expect(tracker.expire(start + long_after));
    cr_expect_not_null(find_usable(tracker, "a").get());
}

// Guards against an upstream that has started again and is doubted like its earlier process.
Test(restored_knowledge, later_process_is_used_at_once)
{
    gateway::upstream_tracker tracker = tracker_that_knows_a_leaving(true, true);
    tracker.apply(listing({entry("b", 100)}, true), start + 3s);
    tracker.apply(changes({entry("a", 200)}), start + 4s);
    cr_expect_not_null(find_usable(tracker, "a").get());
}

// Guards against requests to the address of an earlier process of an upstream.
Test(restored_knowledge, copy_does_not_replace_a_process_by_an_earlier_one)
{
    gateway::upstream_tracker tracker(read_entry);
    tracker.apply(listing({entry("a", 200)}), start);
    tracker.apply(listing({entry("a", 100)}, true), start + 3s);
    cr_expect(find_usable(tracker, "a") == nullptr || find_usable(tracker, "a")->started_at_ms == 200);
}

// Guards against doubt about upstreams that registered after the copy was made and whose entries are written
// again.
Test(restored_knowledge, entry_that_the_copy_lacks_is_used_when_written_again)
{
    gateway::upstream_tracker tracker(read_entry);
    tracker.apply(listing({entry("a", 100)}), start);
    followed_batch restored = listing({}, true);
    restored.connected_since = start + 3s;
    tracker.apply(restored, start + 3s);
    cr_expect_not_null(find_usable(tracker, "a").get(), "held, as it may register again");
    tracker.expire(start + 6s);
    cr_expect_null(find_usable(tracker, "a").get());
    tracker.apply(changes({entry("a", 100)}), start + 7s);
    cr_expect_not_null(find_usable(tracker, "a").get());
}

// Guards against a fleet that forgets its nodes until they have registered again.
Test(restored_knowledge, nodes_that_the_copy_lacks_stay_known)
{
    gateway::member_tracker tracker(4);
    tracker.apply(listing({member_of("a", "a.1"), member_of("b", "b.1")}));
    cr_expect_eq(tracker.apply(listing({member_of("b", "b.1")}, true))->members.size(), 2U);
}

// Guards against the grants of a running process that are closed, since the copy names its predecessor.
Test(restored_knowledge, copy_does_not_replace_a_running_process_by_an_ended_one)
{
    gateway::member_tracker tracker(4);
    tracker.apply(listing({member_of("a", "a.1")}));
    tracker.apply(changes({member_of("a", "a.2")}));
    const auto list = tracker.apply(listing({member_of("a", "a.1")}, true));
    cr_expect_eq(list->members.front().process, "a.2");
    cr_expect_not(list->ended_processes.contains("a.2"));
    cr_expect(list->ended_processes.contains("a.1"));
}

// Guards against a node that does not notice that its registration is lost.
Test(restored_knowledge, node_finds_its_own_registration)
{
    const followed_batch list = listing({member_of("a", "a.1")}, true);
    const auto own = gateway::member_from_json("members/a", member_of("a", "a.1").value);
    const auto later = gateway::member_from_json("members/a", member_of("a", "a.2").value);
    cr_expect(gateway::has_entry_of(list, *own));
    cr_expect_not(gateway::has_entry_of(list, *later));
}

// Guards against a bad version that gets requests again, since the copy says that its roll-out runs or lacks
// it.
Test(restored_knowledge, final_state_of_a_rollout_stays_final)
{
    gateway::rollout_tracker tracker = make_rollout_tracker();
    tracker.apply(listing({order(rollout_state::running)}), start);
    tracker.apply(changes({order(rollout_state::rolled_back)}), start + 1s);
    for (const auto& copy : {listing({order(rollout_state::running)}, true), listing({}, true)}) {
        const auto known = tracker.apply(copy, start + 2s);
        cr_assert(known->contains("s"));
        cr_expect_eq(known->at("s").order.state, rollout_state::rolled_back);
    }
    const auto known = tracker.apply(changes({order(rollout_state::running)}), start + 3s);
    cr_expect_eq(known->at("s").order.state, rollout_state::rolled_back, "not stored again yet");
    cr_expect(known->at("s").has_lost_state);
    cr_expect_not(
        tracker.apply(changes({order(rollout_state::rolled_back)}), start + 4s)->at("s").has_lost_state);
}
