#include "processes/small_deployment.h"

#include <criterion/criterion.h>
#include <cstdio>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace {

using namespace samphireway::testing;
using namespace std::chrono_literals;

constexpr int upstream_count = 6;
constexpr int lost_count = 3;

} // namespace

// Guards against nodes that take the crash of some upstreams for a cut of their own links, while they serve
// by the others: they would give up sound connections, help no node and drop what they know of crashes.
Test(lost_upstreams, crash_of_three_of_six_upstreams_is_no_cut, .timeout = 60)
{
    small_deployment deployment;
    std::vector<std::unique_ptr<stage::engine>> upstreams;
    for (int index = 0; index < upstream_count; ++index) {
        upstreams.push_back(std::make_unique<stage::engine>(
            deployment.store, deployment.notes,
            stage::engine_options{.id = "desk-" + std::to_string(index), .service = "desk"}, serve_text));
    }
    {
        gateway_process first(deployment.node_options("node-1"));
        gateway_process second(deployment.node_options("node-2"));
        int number = 0;
        int served = 0;
        for (gateway_process* const node : {&first, &second}) {
            cr_assert(node->wait_ready(15s), "%s", node->describe_end().c_str());
        }
        for (; number < 120; ++number) {
            served += is_served(number % 2 == 0 ? first : second, number) ? 1 : 0;
        }
        cr_assert_eq(served, number);
        for (int index = 0; index < lost_count; ++index) {
            upstreams[static_cast<std::size_t>(index)]->stop();
        }
        const int before = number;
        served = 0;
        for (; number < before + 120; ++number) {
            served += is_served(number % 2 == 0 ? first : second, number) ? 1 : 0;
            std::this_thread::sleep_for(20ms);
        }
        std::printf("served after the crash: %d of 120\n", served);
        cr_expect_eq(served, 120);
        for (const gateway_process* const node : {&first, &second}) {
            cr_expect_not(node->wait_log("event=upstreams_cut_off", 100ms), "a node counts as cut off");
        }
    }
    for (const auto& each : upstreams) {
        each->stop();
    }
}
