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
    std::string configuration_key; ///< Of the object that holds the configuration.
    std::string upstreams_prefix;  ///< Of the objects in which upstreams register.
    configuration_reader read_configuration;
    upstream_reader read_upstream;
    std::chrono::milliseconds watch_wait{0};
    std::size_t maximum_ledger_writers = 0;
    blackboard& board;
    std::function<void(std::function<void()>)> run_control; ///< Runs a task on the control thread.
    std::function<void(const configuration&)> on_configuration;
};

/**
    What the object API says of configuration, upstreams and nodes, published on the blackboard.

    One follower a kind reads on a thread of its own; what it reads is taken in on the control thread.

    @see object_follower
*/
class fleet_view {
public:
    explicit fleet_view(fleet_view_options given);

    /** Starts the followers. */
    void start();

    /** Ends the followers; calls that wait must be interrupted by the owner of the store. Idempotent. */
    void stop();

    /** Drops upstreams whose time is over. Control thread only. */
    void expire(core::steady_time now);

private:
    follower_options configuration_options();
    follower_options upstream_options();
    follower_options member_options();
    follower_options follow(const std::string& prefix, std::chrono::milliseconds least_interval,
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
