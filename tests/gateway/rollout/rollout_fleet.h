#pragma once

#include "gateway/rollout/rollout_controller.h"

#include <cmath>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace samphireway::testing {

/** How the target version of a simulated roll-out behaves. @see rollout_fleet */
struct version_behaviour {
    double fault_share = 0;                   ///< Share of its requests that fail or are slow.
    double slow_factor = 0;                   ///< Faulty requests take this much longer; zero: they fail.
    std::chrono::milliseconds faulty_from{0}; ///< Age of the order from which it is faulty.
    std::string faulty_route;                 ///< The only faulty route; empty for all.
    int faulty_upstream = -1;                 ///< The only faulty upstream; -1 for all.
};

/** Options of a simulated fleet. */
struct rollout_fleet_options {
    std::size_t nodes = 8;
    std::size_t upstreams = 6; ///< Of each version.
    double requests_per_second = 140;
    std::chrono::milliseconds duration{15000};
    version_behaviour target;
    double stable_fault_share = 0.01;  ///< Share of all versions' requests that fail.
    double replies_fault_share = 0.01; ///< The same on the route `replies`, which has two fifths of them.
    unsigned seed = 1;
};

/**
    The roll-out controllers of several nodes on one simulated clock, with their messages, a stored state and
    requests on two routes.

    A node can be cut off from messages, and the store can be out of reach.
*/
class rollout_fleet {
public:
    explicit rollout_fleet(rollout_fleet_options options_to_use);

    /** Lets the time pass until an age of the order. */
    void run_until(std::chrono::milliseconds age);

    /** Replaces the process of a node by a new one, which has seen nothing. */
    void restart(std::size_t index);

    gateway::rollout_state stored = gateway::rollout_state::pending;
    std::optional<std::chrono::milliseconds> ended_at; ///< Age at which the final state was stored.
    int target_requests = 0;
    int all_requests = 0;
    int target_faults = 0;
    int late_requests = 0;    ///< Requests to the target 5 s after its fiftieth fault.
    int writes_after_end = 0; ///< Writes of another state after the final one.
    bool is_store_down = false;
    std::vector<bool> is_cut;    ///< Nodes whose messages are lost.
    std::vector<bool> is_paused; ///< Nodes that do nothing.

private:
    struct node {
        std::unique_ptr<gateway::rollout_controller> controller;
        std::shared_ptr<const gateway::rollout_table> orders;
        std::string process;
    };

    void start(std::size_t index, bool is_restart);
    void publish(std::size_t index, bool is_restart);
    void serve_request();
    core::steady_time now() const;

    const rollout_fleet_options options;
    std::mt19937 random;
    std::chrono::milliseconds age{0};
    std::vector<node> nodes;
    std::shared_ptr<gateway::member_list> members = std::make_shared<gateway::member_list>();
    std::shared_ptr<gateway::upstream_table> upstreams = std::make_shared<gateway::upstream_table>();
    platform::object_version revision = 1;
    std::optional<std::chrono::milliseconds> fiftieth_fault;
    double owed_requests = 0;
    std::chrono::milliseconds next_tick{0};
    int processes = 0;
};

} // namespace samphireway::testing
