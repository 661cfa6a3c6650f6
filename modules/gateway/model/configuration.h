#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace samphireway::gateway {

/** Whether a request whose first attempt may have run may be sent again. @see route */
enum class route_kind {
    safe,   ///< Idempotent: may run any number of times.
    unsafe, ///< Runs at most once.
    stream  ///< Streams events; may run again only where the route allows resuming.
};

/** Share of a route's traffic that goes to one service. */
struct service_share {
    std::string service;
    int weight = 0; ///< Weight relative to the other shares of the route.
};

/** Services and rules for the requests of one host and path prefix. @see configuration */
struct route {
    std::string name;
    std::string host;
    std::string path_prefix; ///< Begins and ends with a slash.
    route_kind kind = route_kind::unsafe;
    std::chrono::milliseconds timeout{0};        ///< Longest time until the final response.
    std::chrono::milliseconds target_latency{0}; ///< Expected time to response or stream's first event.
    std::chrono::milliseconds longest_gap{0};    ///< Longest expected time between two events of a stream.
    int priority = 0;                            ///< Priority sent to upstreams; 0 is the most urgent.
    std::vector<service_share> shares;
    int maximum_attempts = 1;       ///< Number of upstreams to which one request may be sent.
    bool is_anonymous = false;      ///< Whether requests need no API key.
    bool has_prompt_prefix = false; ///< Whether requests list prompt parts, which upstreams cache.
    bool can_resume = false; ///< Whether a stream may continue at another upstream after its last event.
};

/** Capacity of each model engine of a service. @see service */
struct engine_facts {
    int slots = 0;                     ///< Requests that an engine runs at the same time.
    std::int64_t memory_tokens = 0;    ///< Tokens that fit into an engine's memory.
    std::int64_t tokens_per_event = 1; ///< Largest number of output tokens in one event of a stream.
};

/** A group of interchangeable upstreams. */
struct service {
    std::string name;
    int maximum_connections = 0;        ///< Limit of connections to each upstream, over all nodes.
    std::optional<engine_facts> engine; ///< Absent if the service runs no model engines.
};

/** A customer: its keys and its prepaid budget. */
struct workspace {
    std::string name;
    std::vector<std::string> keys;
    std::optional<int> priority;                ///< Overrides the priority of the route.
    std::optional<std::int64_t> prepaid_tokens; ///< Tokens it may use in total; absent if unlimited.
};

/** Limits on the size of requests and on the time to receive them. */
struct requester_limits {
    std::size_t header_bytes = 16384;               ///< Limit of the request line and headers.
    std::size_t body_bytes = 4U << 20U;             ///< Limit of the body.
    std::chrono::milliseconds header_timeout{3000}; ///< Time to receive the headers.
    std::chrono::milliseconds idle_timeout{15000};  ///< Time to receive the body, and to wait for a request.
};

/** One accepted configuration in full. @see route_table */
struct configuration {
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::map<std::string, service> services;
    requester_limits limits;
    std::vector<workspace> workspaces; ///< Empty if requests need no key.
};

} // namespace samphireway::gateway
