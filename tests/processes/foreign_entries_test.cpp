#include "processes/gateway_process.h"

#include <criterion/criterion.h>
#include <cstdio>
#include <string>
#include <thread>
#include <vector>

namespace {

using namespace samphireway::testing;
using namespace std::chrono_literals;

constexpr int requests = 20;

/** Names with characters that have a meaning in a request target or a form. */
const std::vector<std::string> names{
    "m&x", "m#x", "m%41x", "m%x", "m+x", "m x", "m/x", "m?x", "m=x", "m&afterRev=zz", std::string(1000, 'm')};

/** Writes an entry that names no upstream. */
void add_foreign_entry(stage::store& store, const std::string& name)
{
    Json::Value entry;
    entry["service"] = "desk";
    entry["written_by"] = "an inventory tool";
    store.set("servers", name, entry);
}

/** Answers every request. */
bool serve(stage::channel& to, stage::request& received)
{
    to.write(stage::head_of_success(received, "text/plain") + "Content-Length: 4\r\n\r\nopen");
    return true;
}

/** Sends requests that any upstream of `desk` can answer, and returns how many of them were served. */
int count_served(const gateway_process& node)
{
    int served = 0;
    for (int index = 0; index < requests; ++index) {
        const auto to = stage::channel::connect(node.requester_port());
        to->write(stage::request_text({.path = "/status/1",
                                       .method = "GET",
                                       .attempt_id = "a" + std::to_string(index),
                                       .deadline_ms = 2000}));
        served += stage::read_response(*to).status == 200 ? 1 : 0;
    }
    return served;
}

} // namespace

// Guards against an entry whose name ends or breaks a list, so that a restarted node knows no upstream after
// it.
Test(foreign_entries, name_does_not_hide_the_upstreams_after_it, .timeout = 120)
{
    for (const std::string& name : names) {
        const temporary_directory directory;
        stage::record notes(directory.path + "/record.txt");
        stage::store store(notes, 1);
        store.set("config", "main", stage::small_configuration());
        add_foreign_entry(store, name);
        stage::engine upstream(store, notes, {.id = "z-desk-1", .service = "desk"}, serve);
        {
            gateway_process node({.id = "node-1", .store_port = store.port(), .directory = directory.path});
            const bool is_ready = node.wait_ready(5s);
            const int served = count_served(node);
            std::printf("%.20s: ready %s, served %d of %d\n", name.c_str(), is_ready ? "yes" : "no", served,
                        requests);
            cr_expect(is_ready, "%.20s", name.c_str());
            cr_expect_eq(served, requests, "%.20s: %d", name.c_str(), served);
        }
        upstream.stop();
        store.stop();
    }
}

// Guards against a page without a usable name that makes a list fail, so that a node is never ready, or that
// makes it count as whole, so that the upstreams after it count as gone.
Test(foreign_entries, page_without_usable_names_hides_no_upstream_that_changes, .timeout = 60)
{
    const temporary_directory directory;
    stage::record notes(directory.path + "/record.txt");
    stage::store store(notes, 1);
    store.set("config", "main", stage::small_configuration());
    add_foreign_entry(store, stage::store::half_pair);
    stage::engine before(store, notes, {.id = "0-desk", .service = "desk"}, serve);
    std::atomic<int> served_after{0};
    stage::engine after(store, notes, {.id = "z-desk", .service = "desk"},
                        [&served_after](stage::channel& to, stage::request& received) {
                            ++served_after;
                            return serve(to, received);
                        });
    {
        gateway_process node({.id = "node-1", .store_port = store.port(), .directory = directory.path});
        cr_assert(node.wait_ready(5s), "%s", node.describe_end().c_str());
        cr_expect_eq(count_served(node), requests);
        Json::Value changed = after.entry();
        changed["slots"] = changed["slots"].asInt() + 1;
        store.set("servers", "z-desk", changed);
        std::this_thread::sleep_for(3s);
        before.stop();
        cr_expect_eq(count_served(node), requests);
        cr_expect_gt(served_after.load(), 0);
    }
    after.stop();
    store.stop();
}

// Guards against a list that ends early and counts as whole: the upstreams that it did not reach count as
// gone.
Test(foreign_entries, running_upstream_stays_known_when_a_list_ends_early, .timeout = 60)
{
    const temporary_directory directory;
    stage::record notes(directory.path + "/record.txt");
    stage::store store(notes, 1);
    store.set("config", "main", stage::small_configuration());
    stage::engine upstream(store, notes, {.id = "z-desk", .service = "desk"}, serve);
    {
        gateway_process node({.id = "node-1", .store_port = store.port(), .directory = directory.path});
        cr_assert(node.wait_ready(5s), "%s", node.describe_end().c_str());
        cr_expect_eq(count_served(node), requests);
        add_foreign_entry(store, stage::store::half_pair);
        store.forget_history();
        std::this_thread::sleep_for(4s);
        cr_expect_eq(count_served(node), requests);
    }
    upstream.stop();
    store.stop();
}
