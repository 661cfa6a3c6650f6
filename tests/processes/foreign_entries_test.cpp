#include "processes/small_deployment.h"

#include <atomic>
#include <criterion/criterion.h>
#include <cstdio>
#include <string>
#include <thread>
#include <vector>

namespace {

using namespace samphireway::testing;
using namespace std::chrono_literals;

/** Names with characters that have a meaning in a request target or a form. */
const std::vector<std::string> names{
    "m&x", "m#x", "m%41x", "m%x", "m+x", "m x", "m/x", "m?x", "m=x", "m&afterRev=zz", std::string(1000, 'm')};

} // namespace

// Guards against an entry whose name ends or breaks a list, so that a restarted node knows no upstream after
// it.
Test(foreign_entries, name_does_not_hide_the_upstreams_after_it, .timeout = 120)
{
    for (const std::string& name : names) {
        small_deployment deployment(1);
        deployment.add_foreign_entry(name);
        stage::engine upstream(deployment.store, deployment.notes, {.id = "z-desk-1", .service = "desk"},
                               serve_text);
        {
            gateway_process node(deployment.node_options());
            const bool is_ready = node.wait_ready(5s);
            const int served = count_served(node);
            std::printf("%.20s: ready %s, served %d of %d\n", name.c_str(), is_ready ? "yes" : "no", served,
                        counted_requests);
            cr_expect(is_ready, "%.20s", name.c_str());
            cr_expect_eq(served, counted_requests, "%.20s: %d", name.c_str(), served);
        }
        upstream.stop();
    }
}

// Guards against a page without a usable name that makes a list fail, so that a node is never ready, or that
// makes it count as whole, so that the upstreams after it count as gone.
Test(foreign_entries, page_without_usable_names_hides_no_upstream_that_changes, .timeout = 60)
{
    small_deployment deployment(1);
    deployment.add_foreign_entry(stage::store::half_pair);
    stage::engine before(deployment.store, deployment.notes, {.id = "0-desk", .service = "desk"}, serve_text);
    std::atomic<int> served_after{0};
    stage::engine after(deployment.store, deployment.notes, {.id = "z-desk", .service = "desk"},
                        [&served_after](stage::channel& to, stage::request& received) {
                            ++served_after;
                            return serve_text(to, received);
                        });
    {
        gateway_process node(deployment.node_options());
        cr_assert(node.wait_ready(5s), "%s", node.describe_end().c_str());
        cr_expect_eq(count_served(node), counted_requests);
        Json::Value changed = after.entry();
        changed["slots"] = changed["slots"].asInt() + 1;
        deployment.store.set("servers", "z-desk", changed);
        std::this_thread::sleep_for(3s);
        before.stop();
        cr_expect_eq(count_served(node), counted_requests);
        cr_expect_gt(served_after.load(), 0);
    }
    after.stop();
}

// Guards against a list that ends early and counts as whole: the upstreams that it did not reach count as
// gone.
Test(foreign_entries, running_upstream_stays_known_when_a_list_ends_early, .timeout = 60)
{
    small_deployment deployment(1);
    stage::engine upstream(deployment.store, deployment.notes, {.id = "z-desk", .service = "desk"},
                           serve_text);
    {
        gateway_process node(deployment.node_options());
        cr_assert(node.wait_ready(5s), "%s", node.describe_end().c_str());
        cr_expect_eq(count_served(node), counted_requests);
        deployment.add_foreign_entry(stage::store::half_pair);
        deployment.pages.forget_history();
        cr_expect(node.wait_log("event=list_partial kind=servers", 8s), "the list was not read again");
        std::this_thread::sleep_for(1s);
        cr_expect_eq(count_served(node), counted_requests);
    }
    upstream.stop();
}
