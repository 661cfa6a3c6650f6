#pragma once

#include "limits/limits.h"
#include "routing/routing.h"
#include "traffic/traffic.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

namespace samphireway::node {

/** Options of the route wiring. @see route_wiring */
struct route_wiring_options {
    std::string availability_zone; ///< Zone of this node; upstreams in it are preferred.
    /** Returns whether an upstream is leaving and must get no new requests. */
    std::function<bool(const std::string& upstream)> is_leaving = [](const std::string&) {
        return false;
    };
    limits::load_gate* gate = nullptr;
    traffic::connection_pool* connections = nullptr;
    traffic::deadline_watch* watch = nullptr;
    core::clock time;
    /** Removes candidates that must not serve a request, for reasons other than their health. */
    std::function<void(std::vector<routing::candidate>&, const routing::route_request&)> filter =
        [](std::vector<routing::candidate>&, const routing::route_request&) {
        };
    routing::routing_policy policy = routing::make_affinity_policy({});
};

/**
    Ranks upstreams for requests by their health, load, prefix cache and availability zone.

    A thread polls the load and the cache events of the engines that this node has sent requests to in
    the last 30 s, at a bounded rate.

    @see routing::rank_candidates
*/
class route_wiring {
public:
    explicit route_wiring(route_wiring_options options_to_use);
    ~route_wiring();
    route_wiring(const route_wiring&) = delete;
    route_wiring& operator=(const route_wiring&) = delete;

    /** Returns the upstreams that may serve a request, preferred first. */
    std::vector<routing::upstream_choice> rank(const configuration::snapshot& configuration,
                                               const routing::route_request& request);

    /** Records that a request was sent to an upstream. */
    void record_request(const routing::upstream_choice& target, const routing::route_request& request);

    /** Records the result of a call to an upstream, which may eject it or readmit it. */
    void record_result(const std::string& upstream, traffic::call_report report);

    /** Returns whether this node has ejected an upstream as an outlier. */
    bool is_ejected(const std::string& upstream) const;

private:
    struct polled_engine {
        traffic::endpoint endpoint;
        core::steady_time last_sent; ///< Time of the last request to the engine.
    };

    void poll_all();
    void poll(const std::string& upstream, const traffic::endpoint& endpoint);
    core::result<Json::Value> get(const traffic::endpoint& endpoint, const std::string& path);

    const route_wiring_options options;
    routing::health_table health{{}};
    routing::load_reports reports;
    routing::prefix_table prefixes;
    std::mutex mutex;
    std::condition_variable wake;
    std::map<std::string, polled_engine> engines;
    bool is_stopping = false;
    std::thread poller;
};

} // namespace samphireway::node
