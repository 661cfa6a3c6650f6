#pragma once

#include "configuration/configuration.h"
#include "node/configuration/configuration_follower.h"
#include "node/membership/leaving_upstreams.h"
#include "node/membership/peer_service.h"
#include "platform/platform.h"
#include "settings/settings.h"

#include <httplib.h>

namespace samphireway::node {

/** Functions of other parts of the node that peer messages call. @see configuration_service */
struct fleet_hooks {
    /// Requests of this node that are open at upstreams.
    std::function<std::int64_t()> requests_in_flight;
    /// Receives a peer's notice of a faulty version. Called on a server thread.
    std::function<void(const Json::Value& notice)> on_version_fault;
    /// Receives a peer's evidence on a move that this node drives. Called on a server thread.
    std::function<void(const Json::Value& evidence)> on_move_evidence;
};

/**
    Connects the distribution of the configuration and the fleet membership to a node.

    @see router_node
*/
class configuration_service {
public:
    configuration_service(const settings::node_settings& settings, const std::string& incarnation,
                          platform::http_platform& platform, configuration::repository& repository,
                          fleet_hooks hooks);

    /**
        Starts following the configuration and exchanging heartbeats.
        Fails when the peer port cannot be bound.
    */
    core::result<void> start();

    /**
        Ends all threads. Idempotent.

        @pre Platform calls have been interrupted; otherwise this waits for them.
    */
    void stop();

    /**
        Makes a server refuse requests, except for `/metrics`, until this node has caught up with the
        newest configuration. Refused callers get `overloaded` with the verdict `not_run`.
    */
    void refuse_callers_until_ready(httplib::Server& callers);

    /** Returns readiness, configuration lag, peer states and leaving upstreams of this node. */
    Json::Value status() const;

    /** Returns whether an upstream is leaving and must get no new requests. */
    bool is_leaving(const std::string& upstream) const;

    /** Returns the service that communicates with the peers of this node. */
    peer_service& peers();

    /** Returns the tracker of leaving upstreams. */
    leaving_upstreams& leaving();

private:
    configuration::distributor distributor;
    leaving_upstreams leaving_set;
    configuration_follower follower;
    peer_service peer_link;
};

} // namespace samphireway::node
