#pragma once

#include "core/core.h"
#include "gateway/budget/budget_access.h"
#include "gateway/exchange/blackboard.h"
#include "gateway/exchange/counters.h"
#include "gateway/exchange/drain_state.h"
#include "gateway/exchange/memory_account.h"
#include "gateway/http/upstream_pool.h"
#include "gateway/model/header_dialect.h"
#include "gateway/placement/brittle_upstreams.h"
#include "gateway/placement/load_tracker.h"
#include "gateway/placement/upstream_limits.h"
#include "gateway/placement/upstream_notices.h"
#include "gateway/quarantine/answered_parts.h"
#include "gateway/quarantine/crash_watch.h"
#include "gateway/rollout/rollout_controller.h"
#include "gateway/tunnel/tunnel_client.h"
#include "routing/routing.h"
#include "traffic/retry/retry_budget.h"

#include <boost/asio/io_context.hpp>
#include <string>

namespace samphireway::gateway {

/**
    State that all exchanges of a node share.

    The context owns its members except those held by reference. Traffic thread only, except for the
    published tables.

    @see exchange
*/
struct gateway_context {
    boost::asio::io_context& io;
    const std::string& availability_zone;
    const std::string node = {}; ///< Id of this node.
    const header_dialect& dialect;
    budget_access& budget;
    rollout_controller& rollouts;
    crash_watch& crashes;
    answered_parts& answered;
    upstream_limits& limits;
    /** Memory of requests that are read or served, of upstreams' incomplete responses, and of bytes that
     * requesters have not read yet. */
    memory_account& requests;
    memory_account& responses;
    memory_account& output;

    traffic::retry_budget retries{traffic::retry_budget_options{}}; ///< Retry budgets by service.

    blackboard board = {};
    routing::health_table health{routing::health_options{}};
    tunnel_client tunnels{this->io,
                          {.node = this->node,
                           .availability_zone = this->availability_zone,
                           .members = [this] { return this->board.members.read(); },
                           .upstreams =
                               [this] {
                                   return this->board.upstreams.read();
                               }}};
    upstream_pool pool{this->io, &this->tunnels};
    load_tracker loads = {};
    upstream_notices notices = {};
    brittle_upstreams brittle{{.node = this->node,
                               .members = [this] { return this->board.members.read(); },
                               .upstreams =
                                   [this] {
                                       return this->board.upstreams.read();
                                   }}};
    drain_state drain = {};
    counters counts = {};
};

} // namespace samphireway::gateway
