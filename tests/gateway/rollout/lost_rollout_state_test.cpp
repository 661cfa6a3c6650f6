#include "gateway/rollout/rollout_controller.h"

#include <criterion/criterion.h>

namespace {

using namespace samphireway;
using namespace std::chrono_literals;
using gateway::rollout_state;

/** One node that knows a roll-out which was taken back. */
struct lone_node {
    std::shared_ptr<gateway::rollout_table> orders = std::make_shared<gateway::rollout_table>();
    std::vector<rollout_state> writes;
    core::steady_time now{1h};
    gateway::rollout_controller controller{{
        .node = "a",
        .process = "a.1",
        .orders = [this] { return this->orders; },
        .members = [] { return std::make_shared<const gateway::member_list>(); },
        .upstreams = [] { return std::make_shared<const gateway::upstream_table>(); },
        .in_flight = [](const std::string&) { return 0; },
        .send = [](const auto&, const auto&, core::steady_time, const auto&) {},
        .write =
            [this](const gateway::rollout_order&, rollout_state next, const auto& on_done) {
                this->writes.push_back(next);
                on_done(platform::put_outcome{.applied = true});
            },
        .time = {.steady =
                     [this] {
                         return this->now;
                     }},
    }};

    explicit lone_node(bool has_lost_state)
    {
        (*this->orders)["s"] = {
            .order = {.service = "s", .target = "v2", .duration = 15s, .state = rollout_state::rolled_back},
            .first_seen = this->now,
            .has_lost_state = has_lost_state};
    }

    void run_for(std::chrono::milliseconds length)
    {
        for (std::chrono::milliseconds step{0}; step < length; step += 200ms) {
            this->now += 200ms;
            this->controller.tick();
        }
    }
};

} // namespace

// Guards against an operator, or a node that starts, to whom a version that was taken back looks as if it
// still ran.
Test(lost_rollout_state, final_state_is_stored_again)
{
    lone_node node(true);
    node.run_for(3s);
    cr_assert_geq(node.writes.size(), 1U);
    cr_assert_leq(node.writes.size(), 2U);
    cr_assert_eq(node.writes.front(), rollout_state::rolled_back);
    cr_assert(node.controller.choose("s", true)->is_withdrawn);
}

// Guards against writes of a state that is stored.
Test(lost_rollout_state, stored_state_is_not_written)
{
    lone_node node(false);
    node.run_for(3s);
    cr_assert(node.writes.empty());
}
