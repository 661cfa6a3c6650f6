#pragma once

#include "core/core.h"

#include <json/json.h>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>

namespace samphireway::standin {

/**
    Weight store that several engines share. It starts one load per interval; further loads are queued.

    @see engine_orders
*/
class weight_store {
public:
    /** Queues a load at `now` and returns the time at which it is complete. */
    core::steady_time load(std::chrono::milliseconds interval, std::chrono::milliseconds load_time,
                           core::steady_time now);

private:
    std::mutex mutex;
    core::steady_time next_start;
};

/** Faults that apply to the execution of an order. @see engine_orders::execute */
struct order_conditions {
    bool ignores_fencing = false;
    std::chrono::milliseconds load_interval{0}; ///< Minimum time between the starts of two loads.
    std::chrono::milliseconds load_time{0};     ///< Duration of one load.
};

/** Response to an order. */
struct order_answer {
    int status = 200;
    Json::Value body;
};

/**
    Executes the orders of one engine.

    An order is `{"fencing": N, "action": "load" | "unload" | "role", "model", "version", "role"}`. One
    with a fencing number below the highest seen gets status 409, unless fencing is ignored.

    @see engine_standin
*/
class engine_orders {
public:
    engine_orders(std::string model, std::string version, std::shared_ptr<weight_store> store);

    /** Executes an order. A load continues after the response. */
    order_answer execute(const Json::Value& order, const order_conditions& conditions, core::steady_time now);

    /** Returns whether a version of a model is loaded at `now`. */
    bool is_loaded(const std::string& model, const std::string& version, core::steady_time now) const;

    /** Returns the highest fencing number, the role, and the versions loaded and loading. */
    Json::Value state(core::steady_time now) const;

private:
    const std::shared_ptr<weight_store> store;
    mutable std::mutex mutex;
    /** Time at which each model and version is loaded. */
    std::map<std::pair<std::string, std::string>, core::steady_time> ready;
    std::int64_t highest_fencing = 0;
    std::int64_t executed = 0;
    std::int64_t refused = 0;
    std::string role = "serve";
};

} // namespace samphireway::standin
