#pragma once

#include "gateway/control/configuration_tracker.h"
#include "gateway/control/member_tracker.h"
#include "gateway/control/object_follower.h"
#include "gateway/control/upstream_tracker.h"
#include "gateway/exchange/blackboard.h"

#include <chrono>
#include <functional>
#include <string>

namespace samphireway::gateway {

/** Options of a fleet view. @see fleet_view */
struct fleet_view_options {
    platform::object_store store;
    std::string configuration_key; ///< Key of the object that holds the configuration.
    std::string upstreams_prefix;  ///< Key prefix of the objects in which upstreams register.
    configuration_reader read_configuration;
    upstream_reader read_upstream;
    std::chrono::milliseconds watch_wait{0}; ///< Longest wait of a watch call, except for nodes.
    std::size_t maximum_ledger_writers = 0;  ///< Largest number of nodes that draw from the ledgers.
    blackboard& board;
    std::function<void(std::function<void()>)> run_control;     ///< Runs a task on the control thread.
    std::function<void(const configuration&)> on_configuration; ///< Called on the control thread.
};

/**
    Follows the configuration, the upstreams and the nodes in the object API and publishes them on the
    blackboard.

    Each of the three kinds has a follower that reads on its own thread. The batches are applied on the
    control thread.

    @see object_follower
*/
class fleet_view {
public:
    explicit fleet_view(fleet_view_options options_to_use);

    /** Starts the followers. */
    void start();

    /** Stops the followers. The owner of the store must interrupt waiting calls first. Idempotent. */
    void stop();

    /** Removes upstreams whose entries have been missing for too long. Control thread only. */
    void expire(core::steady_time now);

private:
    follower_options configuration_options();
    follower_options upstream_options();
    follower_options member_options();
    follower_options make_follower_options(const std::string& prefix,
                                           std::chrono::milliseconds minimum_interval,
                                           std::function<void(const followed_batch&)> apply);

    const fleet_view_options options;
    configuration_tracker configurations; ///< Control thread only.
    upstream_tracker upstreams;           ///< Control thread only.
    member_tracker members;               ///< Control thread only.
    object_follower configuration_follower;
    object_follower upstream_follower;
    object_follower member_follower;
};

} // namespace samphireway::gateway
