#pragma once

#include "gateway/control/configuration_tracker.h"
#include "gateway/control/upstream_tracker.h"
#include "gateway/model/header_dialect.h"
#include "gateway/rollout/rollout_order.h"
#include "platform/objects/object_store.h"
#include "settings/settings.h"

#include <functional>
#include <memory>
#include <string>

namespace samphireway::gateway {

/** Settings and platform hooks of a gateway node. @see gateway_node */
struct gateway_node_options {
    settings::gateway_settings settings;
    std::string settings_file; ///< Reloaded after SIGHUP and when the file changes.
    header_dialect dialect;
    platform::object_store store;
    std::function<void()> interrupt_store; ///< Ends waiting calls of the store and fails later ones.
    std::string configuration_key;         ///< Key of the object that holds the configuration.
    std::string upstreams_prefix;          ///< Key prefix of the objects in which upstreams register.
    std::string rollouts_prefix;           ///< Key prefix of the operator's roll-out orders.
    configuration_reader read_configuration;
    upstream_reader read_upstream;
    rollout_reader read_rollout;
    rollout_writer write_rollout;
};

/**
    A node of the gateway fleet: its traffic thread, its control thread and its followers of the object
    API.

    @see exchange, object_follower
*/
class gateway_node {
public:
    explicit gateway_node(gateway_node_options options_to_use);
    ~gateway_node();
    gateway_node(const gateway_node&) = delete;
    gateway_node& operator=(const gateway_node&) = delete;

    /** Serves requests until a stop signal arrives and the drain ends. Fails with `internal` if the node
     * cannot listen on one of its addresses. */
    core::result<void> run();

private:
    class implementation;
    std::unique_ptr<implementation> state;
};

} // namespace samphireway::gateway
