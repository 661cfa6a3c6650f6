#pragma once

#include "core/core.h"
#include "settings/reader/endpoint_text.h"
#include "settings/reader/settings_reader.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace samphireway::settings {

/** Addresses on which a gateway node listens. */
struct gateway_listen_settings {
    endpoint_text requesters; ///< For requests of callers.
    endpoint_text probes;     ///< For readiness probes of the load balancer, and for metrics.
    endpoint_text internal;   ///< For calls of other nodes, and for metrics.
};

/** How a gateway node reaches the platform's object API. */
struct object_api_settings {
    endpoint_text address;
    /** Timeout of a call. The API normally answers within milliseconds; a call that times out is
        retried on a new connection. */
    std::chrono::milliseconds call_timeout{700};
    /** Time that a watch call waits for changes. A longer wait needs fewer calls, but detects a
        connection that has gone silent later: with the call's timeout and the pause before the next
        call, within the three seconds after which a node must be up to date again. */
    std::chrono::milliseconds watch_wait{2000};
};

/** How much of the prepaid budgets a gateway node draws in advance. @see budget::draw_options */
struct gateway_budget_settings {
    std::uint32_t ledgers = 1; ///< Number of objects over which the workspaces' accounts are spread.
    /** Time for which a grant covers the node's use of a budget. It is longer than an outage of the
        object API of nine seconds; the unused part of the grant is lost when the node loses power. */
    std::chrono::seconds horizon{10};
    /** Share of the remaining budget that all nodes together may hold in grants, in sixteenths. It
        shrinks further once less than 0.4 of the budget is left. */
    int held_sixteenths = 8;
    /** Maximum number of nodes that draw from the ledgers; the other nodes borrow from these. With
        few nodes that settle once a second, few updates of a ledger conflict. */
    int ledger_writers = 4;
    /** Smallest number of tokens drawn at once: fewer do not justify a write to the ledger. */
    std::int64_t minimum_draw_tokens = 12000;
};

/** How the nodes of a large fleet learn what the object API holds. @see gateway::order_relays */
struct gateway_relay_settings {
    int per_zone = 1; ///< Nodes of an availability zone that watch the object API for the others.
    /** In a smaller fleet each node watches the object API itself, which takes no more calls. */
    int minimum_nodes = 16;
    /** Longest wait of a poll. A silent relay is left this long after its last answer at the latest. */
    std::chrono::milliseconds poll_wait{400};
    std::chrono::milliseconds answer_timeout{300}; ///< Time for a relay's answer after the wait.
    /** Age of a relay's knowledge beyond which its nodes leave it. Longer than the relay's own watch call
        and a poll together, and short enough to learn of a configuration elsewhere in time. */
    std::chrono::milliseconds maximum_age{1600};
};

/** Limits on retries of requests at another upstream. @see traffic::retry_budget */
struct gateway_retry_settings {
    double share = 0.1; ///< Retries earned per success of an upstream.
    double burst = 2.0; ///< Most unused retries of an upstream; also their initial number.
};

/** Times of a graceful stop of a gateway node. */
struct gateway_stop_settings {
    /** Time from the stop signal until the process is killed. */
    std::chrono::milliseconds grace{8000};
    /** Time for which requests are still accepted after the readiness probe starts to fail: the load
        balancer stops sending requests after two failed probes, one second apart. At most half of the
        grace unless it is set. */
    std::chrono::milliseconds notice{3000};
};

/** Use of the rates of requests that upstreams name as their limits. @see gateway::upstream_limits */
struct gateway_limit_settings {
    double utilization = 1; ///< Part of a limit that the nodes use together.
};

/** Limits of roll-outs to another version of a service. @see gateway::canary_share */
struct gateway_rollout_settings {
    double exposure_share = 0.1; ///< Share of a service's requests that a bad version may get in all.
    double exposure_slack = 0;   ///< Requests that it may get beyond that share, from all nodes together.
};

/** All settings of a gateway node. @see load_gateway_settings */
struct gateway_settings {
    std::string id;
    std::string availability_zone;
    double cpu_share = 0.25; ///< Cores that the VM gives the node.
    double link_mbps = 1000; ///< Bandwidth of the VM's link.
    int memory_mb = 256;     ///< Memory in MiB above which the platform kills the process.
    gateway_listen_settings listen;
    object_api_settings object_api;
    gateway_budget_settings budget;
    gateway_relay_settings relays;
    gateway_retry_settings retry;
    gateway_rollout_settings rollouts;
    gateway_limit_settings upstream_limits;
    gateway_stop_settings stop;
    core::log_level log_level = core::log_level::info;
};

/** Settings that were read, and the faults found in them. The settings are valid only without
    faults. */
struct gateway_settings_result {
    gateway_settings settings;
    std::vector<settings_fault> faults;
};

/** Reads and checks the content of a settings file. @see load_gateway_settings */
gateway_settings_result read_gateway_settings(const Json::Value& document);

/** Reads and checks a settings file, JSON with comments. Fails with `not_found` when the file cannot
    be read, and with `invalid_argument` when it is not JSON or has faults; the message has a line for
    each fault, with file, key, found value and allowed values. */
core::result<gateway_settings> load_gateway_settings(const std::string& file);

} // namespace samphireway::settings
