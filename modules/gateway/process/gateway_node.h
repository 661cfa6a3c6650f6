#pragma once

#include "gateway/control/configuration_tracker.h"
#include "gateway/control/upstream_tracker.h"
#include "gateway/model/header_dialect.h"
#include "platform/objects/object_store.h"
#include "settings/settings.h"

#include <functional>
#include <memory>
#include <string>

namespace samphireway::gateway {

/** What a gateway node needs from its surroundings. @see gateway_node */
struct gateway_node_options {
    settings::gateway_settings settings;
    std::string settings_file; ///< Read again after SIGHUP and when it changes.
    header_dialect dialect;
    platform::object_store store;
    std::function<void()> interrupt_store; ///< Ends calls of the store that wait.
    std::string configuration_key;         ///< Of the object that holds the configuration.
    std::string upstreams_prefix;          ///< Of the objects in which upstreams register.
    configuration_reader read_configuration;
    upstream_reader read_upstream;
};

/**
    One node of the gateway fleet: the traffic thread, the control thread and the followers of the object API.

    @see exchange, object_follower
*/
class gateway_node {
public:
    explicit gateway_node(gateway_node_options given);
    ~gateway_node();
    gateway_node(const gateway_node&) = delete;
    gateway_node& operator=(const gateway_node&) = delete;

    /** Serves until a stop signal and the end of the drain. Fails with `internal` when it cannot listen. */
    core::result<void> run();

private:
    class implementation;
    std::unique_ptr<implementation> state;
};

} // namespace samphireway::gateway
