#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace samphireway::gateway {

/** What may be done with a request whose first attempt may have run. @see route */
enum class route_kind {
    safe,   ///< Idempotent: may run any number of times.
    unsafe, ///< Runs at most once.
    stream  ///< Streams events; may run again only where the route allows resuming.
};

/** Part of a route's traffic that goes to one service. */
struct service_share {
    std::string service;
    int weight = 0; ///< Relative to the other shares of the route.
};

/** Where requests of one host and path prefix go and how they are treated. @see configuration */
struct route {
    std::string name;
    std::string host;
    std::string path_prefix; ///< Begins and ends with a slash.
    route_kind kind = route_kind::unsafe;
    std::chrono::milliseconds timeout{0};        ///< Longest time until the final response.
    std::chrono::milliseconds target_latency{0}; ///< To the whole response, or to a stream's first event.
    std::chrono::milliseconds longest_gap{0};    ///< Between events of a stream that is still on time.
    int priority = 0;                            ///< 0 is the most urgent.
    std::vector<service_share> shares;
    int maximum_attempts = 1; ///< Upstreams to which one request may be sent.
    bool is_anonymous = false;
    bool has_prompt_prefix = false; ///< Requests name the parts of their prompt, which upstreams cache.
    bool can_resume = false;        ///< A stream may go on at another upstream after its last event.
};

/** Facts about a service's model engines. @see service */
struct engine_facts {
    int slots = 0;
    std::int64_t memory_tokens = 0;
    std::int64_t tokens_per_event = 1; ///< Most output tokens in one event of a stream.
};

/** A group of interchangeable upstreams. */
struct service {
    std::string name;
    int maximum_connections = 0; ///< Per upstream, over all nodes.
    std::optional<engine_facts> engine;
};

/** A customer: its keys and its prepaid budget. */
struct workspace {
    std::string name;
    std::vector<std::string> keys;
    std::optional<int> priority;                ///< Takes precedence over the route's.
    std::optional<std::int64_t> prepaid_tokens; ///< Total that may be used; absent means no limit.
};

/** Bounds on what a requester may send and how long it may take. */
struct requester_limits {
    std::size_t header_bytes = 16384;
    std::size_t body_bytes = 4U << 20U;
    std::chrono::milliseconds header_timeout{3000};
    std::chrono::milliseconds idle_timeout{15000};
};

/** One accepted configuration in full. @see route_table */
struct configuration {
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::map<std::string, service> services;
    requester_limits limits;
    std::vector<workspace> workspaces; ///< Empty when requests need no key.
};

} // namespace samphireway::gateway
