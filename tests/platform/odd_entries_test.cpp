#include "gateway/control/member_tracker.h"
#include "gateway/control/upstream_tracker.h"
#include "gateway/quarantine/crash_report.h"
#include "platform/store/object_api.h"
#include "platform/wire/stored_objects.h"

#include <criterion/criterion.h>
#include <httplib.h>
#include <string>
#include <thread>
#include <vector>

namespace {

using namespace samphireway;
using namespace std::chrono_literals;

constexpr core::steady_time start{1h};

std::string entry(const std::string& name, const std::string& members)
{
    return R"({"metadata":{"name":")" + name + R"(","revision":5},"spec":{"service":"s","zone":"z",)" +
           R"("version":"v1","slots":4,"state":"ready",)" + members + "}}";
}

std::string sound(const std::string& name)
{
    return entry(name, R"("address":"10.0.0.1:80")");
}

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

/** Entries of another writer, each of which names no upstream. */
const std::vector<std::string> odd_entries{
    entry("deep", R"("address":)" + nested(100)),
    entry("deeper", R"("address":"10.0.0.1:80","extra":1,"service":)" + nested(100000)),
    entry("huge", R"("address":"10.0.0.1:80","slots":1e400)"),
    entry("long", R"("address":"10.0.0.1:80","slots":)" + std::string(400, '9')),
    entry("port", R"("address":"10.0.0.1:70000")"),
    entry("zero", R"("address":"10.0.0.1:0")"),
    entry("negative", R"("address":"10.0.0.1:-1")"),
    entry("nul", R"("address":"10.0.0.1\u0000:80")"),
    entry("raw", std::string(R"("address":"10.0.0.1)") + '\0' + R"(:80")"),
    entry("host", R"("address":"no address:80")"),
    entry("types", R"("address":["10.0.0.1:80"],"state":7)"),
    entry("twice", R"("address":"10.0.0.1:80","state":"ready","state":"unknown")"),
    entry("line\\r\\nbreak", R"("address":"10.0.0.1:80")"),
    entry("high surrogate", R"("address":"10.0.0.1:80","zone":"\ud83d")"),
    entry("low surrogate", R"("address":"10.0.0.1:80","version":"v\udc00")"),
    entry("high surrogates", R"("address":"\ud83d\ud83d\u0041\\ud83d")"),
    entry("member", R"("address":"10.0.0.1","\ud83d":1)"),
    R"({"metadata":{"name":"text","revision":5},"spec":"none"})",
    R"({"metadata":[1,2],"spec":{}})",
    R"({"metadata":{"name":{"a":1}},"spec":{}})",
    R"("a text")",
    "17",
    "null",
    "[]",
};

/** An object API on loopback whose answers are given texts. */
class scripted_api {
public:
    scripted_api()
    {
        this->server.Get("/objects/servers", [this](const httplib::Request& request,
                                                    httplib::Response& answer) {
            answer.set_content(request.has_param("watch") ? this->watched : this->listed, "application/json");
        });
        this->port = this->server.bind_to_any_port("127.0.0.1");
        this->thread = std::thread([this] { this->server.listen_after_bind(); });
    }
    ~scripted_api()
    {
        this->server.stop();
        this->thread.join();
    }
    scripted_api(const scripted_api&) = delete;
    scripted_api& operator=(const scripted_api&) = delete;

    std::string listed;
    std::string watched;
    int port = 0;

private:
    httplib::Server server;
    std::thread thread;
};

std::size_t count(const gateway::upstream_tracker& tracker)
{
    const auto table = tracker.table();
    return table->by_service.contains("s") ? table->by_service.at("s").size() : 0;
}

} // namespace

// Guards against one odd entry that ends the process or hides the other entries of a list.
Test(odd_entries, others_of_a_list_are_followed)
{
    for (const std::string& odd : odd_entries) {
        scripted_api api;
        api.listed = R"({"items":[)" + sound("a") + "," + odd + "," + sound("b") + R"(],"at":9})";
        adapter::object_api client({.address = "127.0.0.1", .port = api.port});
        const auto batch = client.make_store().list("servers/");
        cr_expect(batch.has_value(), "%.120s: %s", odd.c_str(), batch ? "" : batch.error().message.c_str());
        if (!batch) {
            continue;
        }
        gateway::upstream_tracker tracker(adapter::decode_upstream);
        tracker.apply({.batch = *batch, .is_full_list = true}, start);
        cr_expect_eq(count(tracker), 2U, "%.120s", odd.c_str());
    }
}

// Guards against one odd entry that stops the watch, or is still skipped after it has been put right.
Test(odd_entries, watch_goes_on_and_takes_up_a_repaired_entry)
{
    for (const std::string& odd : odd_entries) {
        scripted_api api;
        api.watched = R"({"events":[{"object":)" + sound("a") + R"(},{"object":)" + odd + R"(},{"object":)" +
                      sound("b") + R"(}, 3, {"deleted":true}],"at":12})";
        adapter::object_api client({.address = "127.0.0.1", .port = api.port});
        const platform::object_store store = client.make_store();
        const auto first = store.watch("servers/", 9, std::chrono::steady_clock::now() + 1s);
        cr_expect(first.has_value(), "%.120s", odd.c_str());
        if (!first) {
            continue;
        }
        cr_expect_eq(first->revision, 12U);
        gateway::upstream_tracker tracker(adapter::decode_upstream);
        tracker.apply({.batch = *first, .after = 9}, start);
        cr_expect_eq(count(tracker), 2U, "%.120s", odd.c_str());
    }
    scripted_api api;
    adapter::object_api client({.address = "127.0.0.1", .port = api.port});
    const platform::object_store store = client.make_store();
    gateway::upstream_tracker tracker(adapter::decode_upstream);
    const auto apply = [&](const std::string& object) {
        api.watched = R"({"events":[{"object":)" + object + R"(}],"at":12})";
        tracker.apply(
            {.batch = *store.watch("servers/", 9, std::chrono::steady_clock::now() + 1s), .after = 9}, start);
    };
    apply(sound("a"));
    cr_assert_eq(count(tracker), 1U);
    apply(entry("a", R"("address":)" + nested(100)));
    cr_assert_eq(count(tracker), 0U);
    cr_assert_eq(tracker.table()->unusable_entries, 1U);
    apply(sound("a"));
    cr_assert_eq(count(tracker), 1U);
    cr_assert_eq(tracker.table()->unusable_entries, 0U);
}

// Guards against an odd entry that takes the place of a sound one, since its name ends with a slash and that
// name.
Test(odd_entries, name_with_a_slash_is_another_name)
{
    scripted_api api;
    api.listed = R"({"items":[)" + sound("a") + "," + entry("x/a", R"("address":7)") + R"(],"at":9})";
    adapter::object_api client({.address = "127.0.0.1", .port = api.port});
    const auto batch = client.make_store().list("servers/");
    cr_assert(batch.has_value());
    gateway::upstream_tracker tracker(adapter::decode_upstream);
    tracker.apply({.batch = *batch, .is_full_list = true}, start);
    cr_expect_eq(count(tracker), 1U);
    cr_expect_eq(tracker.table()->unusable_entries, 1U);
}

// Guards against a list that never ends because its page has no further name.
Test(odd_entries, page_without_names_ends_the_list)
{
    scripted_api api;
    api.listed = R"({"items":[{"metadata":{}}, 5],"at":9,"hasMore":true})";
    adapter::object_api client({.address = "127.0.0.1", .port = api.port});
    cr_assert(client.make_store().list("servers/")->changed.empty());
}

// Guards against configurations, orders and reports of other writers that end the process.
Test(odd_entries, other_readers_refuse_odd_values)
{
    for (const std::string& odd : odd_entries) {
        const auto object = core::parse_stored_json(odd);
        cr_assert(object.has_value(), "%.120s", odd.c_str());
        const Json::Value value = object->isObject() ? (*object)["spec"] : *object;
        adapter::decode_configuration(value);
        adapter::decode_rollout({.key = "rollouts/s", .version = 1, .value = value, .status = value});
        gateway::member_from_json("members/a", value);
        gateway::crash_report_from_json(value);
    }
}
