#include "processes/gateway_process.h"

#include <criterion/criterion.h>
#include <cstdio>
#include <string>
#include <vector>

namespace {

using namespace samphireway::testing;
using namespace std::chrono_literals;

constexpr int requests = 20;

/** Names with characters that have a meaning in a request target or a form. */
const std::vector<std::string> names{
    "m&x", "m#x", "m%41x", "m%x", "m+x", "m x", "m/x", "m?x", "m=x", "m&afterRev=zz", std::string(1000, 'm')};

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
        Json::Value entry;
        entry["service"] = "desk";
        entry["written_by"] = "an inventory tool";
        store.set("servers", name, entry);
        stage::engine upstream(store, notes, {.id = "z-desk-1", .service = "desk"},
                               [](stage::channel& to, stage::request& received) {
                                   to.write(stage::head_of_success(received, "text/plain") +
                                            "Content-Length: 4\r\n\r\nopen");
                                   return true;
                               });
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
