#pragma once

#include "admin/admin.h"
#include "budget/budget.h"
#include "configuration/configuration.h"
#include "node/configuration/configuration_service.h"
#include "node/limits/load_wiring.h"
#include "node/metrics/node_metrics.h"
#include "node/moves/node_moves.h"
#include "node/routing/route_wiring.h"
#include "platform/platform.h"
#include "settings/settings.h"
#include "traffic/traffic.h"

#include <atomic>
#include <memory>
#include <string>

namespace samphireway::node {

/**
    One router node: constructs its components, connects them to each other and runs them.

    The control thread owns all control state. Caller requests run on the threads of the HTTP servers.

    @see core::event_loop, traffic::front_server
*/
class router_node {
public:
    explicit router_node(settings::node_settings settings_to_use);
    ~router_node();
    router_node(const router_node&) = delete;
    router_node& operator=(const router_node&) = delete;

    /** Starts serving. Fails when a listen address cannot be bound. */
    core::result<void> start();

    /**
        Stops gracefully: refuses new requests, waits for the requests in flight and returns budget
        grants and load shares. Requests that are still in flight at the deadline are interrupted.
        Returns whether all requests ended without interruption and everything was returned in time.
    */
    bool stop(core::steady_time deadline);

    /**
        Interrupts all requests in flight. Each caller gets an error whose verdict says whether its request
        has run, as far as that is known. A stop that waits for these requests then continues.
    */
    void interrupt();

private:
    bool interrupt_requests();
    void add_caller_routes();
    void schedule_budget_tick();
    traffic::chat_services make_chat_services();
    admin::admin_services make_admin_services();
    metric_sources make_metric_sources();
    Json::Value status() const;
    void observe(const traffic::request_outcome& outcome);

    const settings::node_settings settings;
    const std::string incarnation;
    std::atomic<bool> is_stopping = false;
    node_metrics metrics;
    platform::http_platform platform;
    configuration::repository configuration;
    core::worker_pool blocking_pool;
    core::worker_pool stream_pool;
    budget::grant_pool grant_pool;
    core::event_loop control;
    budget::budget_controller budgets;
    load_wiring loads;
    traffic::drain_gate requests;
    node_moves moves;
    traffic::connection_pool connections;
    traffic::deadline_watch watch;
    route_wiring routes;
    traffic::retry_budget retries;
    traffic::reader_memory memory;
    traffic::idempotency_store records;
    traffic::chat_handler chat;
    traffic::service_handler services;
    admin::admin_api administration;
    traffic::front_server caller_server;
    traffic::front_server admin_server;
    configuration_service fleet;
};

} // namespace samphireway::node
