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
    endpoint_text requesters;
    endpoint_text probes;   ///< Readiness probes of the balancer, and metrics.
    endpoint_text internal; ///< Calls of other nodes, and metrics.
};

/** How a gateway node reaches the platform's object API. */
struct object_api_settings {
    endpoint_text address;
    /** Time for one call. The API answers in milliseconds; a call without an answer is given up and repeated
     * on a new connection. */
    std::chrono::milliseconds call_timeout{700};
    /** Time that a watch waits for changes. Longer waits cost fewer calls and notice a silent connection
     * later. */
    std::chrono::milliseconds watch_wait{2500};
};

/** How much of the prepaid budgets a gateway node holds in advance. @see budget::draw_options */
struct gateway_budget_settings {
    std::uint32_t ledgers = 1; ///< Objects over which the workspaces' accounts are spread.
    /** Use that a grant covers: it outlasts an outage of the object API of nine seconds, and is lost when the
     * node loses power. */
    std::chrono::seconds horizon{10};
    /** Share of what is left of a budget that all nodes hold together, in sixteenths; it shrinks further once
     * less than 0.4 of the budget is left. */
    int held_sixteenths = 8;
    /** Largest number of nodes that draw from the ledgers; the others borrow from them. Eight nodes that
     * settle once a second meet few conflicts. */
    int ledger_writers = 8;
    std::int64_t minimum_draw_tokens = 12000; ///< A smaller draw is not worth a write.
};

/** Limits on sending requests to a further upstream. @see traffic::retry_budget */
struct gateway_retry_settings {
    double share = 0.1; ///< Retries per request.
    double burst = 2.0; ///< Retries that a node may make without requests before them.
};

/** How a gateway node stops. */
struct gateway_stop_settings {
    std::chrono::milliseconds grace{8000}; ///< From the stop signal until the process is killed.
    /** Time during which requests are still served after the readiness probe fails: the balancer needs two
     * failed probes, a second apart. */
    std::chrono::milliseconds notice{3000};
};

/** All settings of a gateway node. @see load_gateway_settings */
struct gateway_settings {
    std::string id;
    std::string availability_zone;
    gateway_listen_settings listen;
    object_api_settings object_api;
    gateway_budget_settings budget;
    gateway_retry_settings retry;
    gateway_stop_settings stop;
    core::log_level log_level = core::log_level::info;
};

/** Settings and the faults found in them; the settings count only when there is no fault. */
struct gateway_settings_reading {
    gateway_settings settings;
    std::vector<settings_fault> faults;
};

/** Reads and checks a whole settings document. @see load_gateway_settings */
gateway_settings_reading read_gateway_settings(const Json::Value& document);

/** Reads a settings file, JSON with comments. Fails with one line per fault: file, key, found, allowed. */
core::result<gateway_settings> load_gateway_settings(const std::string& file);

} // namespace samphireway::settings
