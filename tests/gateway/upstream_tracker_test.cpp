#include "gateway/control/configuration_tracker.h"
#include "gateway/control/member_tracker.h"
#include "gateway/control/upstream_tracker.h"
#include "support/fake_object_store.h"

#include <criterion/criterion.h>

namespace {

using namespace samphireway;
using namespace std::chrono_literals;
using gateway::followed_batch;

const core::steady_time start{1h};

/** Decodes entries of the form {"draining": bool}; any other entry is unusable. */
core::result<gateway::upstream> read_entry(const platform::object& entry)
{
    if (!entry.value.isObject()) {
        return core::failure(core::error_code::invalid_argument, "not an object");
    }
    return gateway::upstream{.id = entry.key.substr(entry.key.rfind('/') + 1),
                             .service = "desk",
                             .is_draining = core::boolean_member(entry.value, "draining")};
}

platform::object entry(const std::string& id, bool is_draining = false)
{
    Json::Value value(Json::objectValue);
    value["draining"] = is_draining;
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

followed_batch listing(std::vector<platform::object> objects)
{
    return {.batch = {.revision = 1, .changed = std::move(objects)}, .is_full_list = true};
}

std::size_t size_of(const gateway::upstream_tracker& tracker)
{
    const auto table = tracker.table();
    const auto found = table->by_service.find("desk");
    return found == table->by_service.end() ? 0 : found->second.size();
}

} // namespace

// Guards against an empty table after an outage of the object API in which the upstreams' entries
// expired.
Test(upstream_tracker, missing_entries_are_kept_after_an_outage)
{
    gateway::upstream_tracker tracker(read_entry);
    tracker.apply(listing({entry("a"), entry("b"), entry("c")}), start);
    tracker.set_disconnected(start + 1s);
    tracker.apply(changes({removal("a"), removal("b")}), start + 5s);
    cr_assert_eq(size_of(tracker), 3U);
    tracker.apply(changes({entry("a")}), start + 6s);
    cr_assert(tracker.expire(start + 8s));
    cr_assert_eq(size_of(tracker), 2U);
}

// Guards against requests to an upstream that was removed or is draining: outside an outage a removal takes
// effect at once, and so does the removal of a draining upstream around an outage.
Test(upstream_tracker, removals_and_draining_take_effect_at_once)
{
    gateway::upstream_tracker tracker(read_entry);
    tracker.apply(listing({entry("a"), entry("b")}), start);
    cr_assert(tracker.apply(changes({removal("a")}), start + 1s));
    cr_assert_eq(size_of(tracker), 1U);
    cr_assert(tracker.apply(changes({entry("b", true)}), start + 1s));
    cr_assert(tracker.table()->by_service.at("desk").front()->is_draining);
    tracker.set_disconnected(start + 2s);
    cr_assert(tracker.apply(changes({removal("b")}), start + 3s));
    cr_assert_eq(size_of(tracker), 0U);
}

// Guards against an upstream that stays in the table although a new full list does not contain it.
Test(upstream_tracker, full_list_removes_missing_entries)
{
    gateway::upstream_tracker tracker(read_entry);
    tracker.apply(listing({entry("a"), entry("b")}), start);
    tracker.apply(listing({entry("b")}), start + 1s);
    cr_assert_eq(size_of(tracker), 1U);
}

// Guards against use of an unusable entry, and against its effect on other entries.
Test(upstream_tracker, unusable_entry_removes_only_its_upstream)
{
    gateway::upstream_tracker tracker(read_entry);
    tracker.apply(listing({entry("a"), entry("b")}), start);
    tracker.apply(changes({{.key = "servers/a", .version = 2, .value = Json::Value("bytes")}}), start);
    cr_assert_eq(size_of(tracker), 1U);
}

// Guards against a return to a lower version, and against the use of a malformed or deleted
// configuration.
Test(configuration_tracker, version_never_goes_down)
{
    gateway::configuration_tracker tracker(
        "config/main", [](const Json::Value& value) -> core::result<gateway::configuration> {
            if (!value.isInt()) {
                return core::failure(core::error_code::invalid_argument, "not a number");
            }
            return gateway::configuration{.version = static_cast<std::uint64_t>(value.asInt())};
        });
    const auto put = [](const Json::Value& value) {
        return changes({{.key = "config/main", .version = 1, .value = value}});
    };
    cr_assert_eq(tracker.apply(put(7))->source().version, 7U);
    cr_assert_null(tracker.apply(put(5)).get());
    cr_assert_null(tracker.apply(put("broken")).get());
    cr_assert_null(tracker.apply(changes({{.key = "config/main", .version = 9, .value = {}}})).get());
    cr_assert_eq(tracker.version(), 7U);
    cr_assert_eq(tracker.apply(put(12))->source().version, 12U);
}

// Guards against an entry of an earlier process of a node that is kept instead of the running process's.
Test(member_tracker, node_replaces_its_earlier_entry)
{
    testing::fake_object_store store;
    const gateway::member first{.id = "node", .address = "10.1.0.19", .port = 7200, .token = "old"};
    gateway::member second = first;
    second.token = "new";
    cr_assert(gateway::store_member(store.hooks(), first).has_value());
    cr_assert(gateway::store_member(store.hooks(), second).has_value());
    gateway::member_tracker tracker(8);
    const auto list =
        tracker.apply({.batch = *store.hooks().list(gateway::members_prefix), .is_full_list = true});
    cr_assert_eq(list->members.size(), 1U);
    cr_assert(list->members.front() == second);
}

// Guards against a process that counts as ended although it was never replaced, and against one that was
// replaced and is not known as ended.
Test(member_tracker, replaced_processes_are_known_as_ended)
{
    const auto entry_of = [](const std::string& process) {
        return platform::object{
            .key = "members/a",
            .version = 1,
            .value = gateway::to_json(gateway::member{
                .id = "a", .address = "10.0.0.1", .port = 7200, .token = "t" + process, .process = process})};
    };
    gateway::member_tracker tracker(4);
    cr_assert(tracker.apply(listing({entry_of("a.1")}))->ended_processes.empty());
    cr_assert(tracker.apply(changes({entry_of("a.1")}))->ended_processes.empty());
    cr_assert(tracker.apply(listing({entry_of("a.2")}))->ended_processes.contains("a.1"));
    cr_assert_not(tracker.apply(changes({}))->ended_processes.contains("a.2"));
}

// Guards against a removal that a relay passes on right after its own outage and that takes effect at once.
Test(upstream_tracker, removals_are_held_after_an_outage_of_the_relay)
{
    gateway::upstream_tracker tracker(read_entry);
    tracker.apply(listing({entry("a"), entry("b")}), start);
    followed_batch relayed = changes({removal("a")});
    relayed.connected_since = start + 4s;
    tracker.apply(relayed, start + 5s);
    cr_assert_eq(size_of(tracker), 2U);
    cr_assert(tracker.expire(start + 7s));
    cr_assert_eq(size_of(tracker), 1U);
    followed_batch later = changes({removal("b")});
    later.connected_since = start + 4s;
    cr_assert(tracker.apply(later, start + 8s));
    cr_assert_eq(size_of(tracker), 0U);
}
