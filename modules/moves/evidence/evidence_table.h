#pragma once

#include "moves/evidence/change_detector.h"
#include "moves/evidence/sequential_test.h"
#include "moves/evidence/summary.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace samphireway::moves {

/** Summaries of the old and the new version over the same period. */
struct version_pair {
    summary old_version;
    summary new_version;
};

/** Evidence about one route in a move. */
struct route_evidence {
    std::uint64_t new_requests = 0;    ///< Requests to the new version since the move began.
    summary old_baseline;              ///< Outcomes of the old version since the move began.
    histogram new_slowdowns;           ///< Slowdowns of the new version since the move began.
    version_pair step;                 ///< Outcomes of both versions since the current step began.
    route_detectors detectors;         ///< Find a fault that starts late, which totals would hide.
    std::uint32_t recent_requests = 0; ///< Requests since routes were last evicted.
};

/** Error rates and threshold of the fault tests on one route. @see evidence_table::find_fault */
struct detection_limits {
    double slowdown_error_rate = 0; ///< Error rate of a single comparison of slowdowns over the move.
    double step_error_rate = 0;     ///< Error rate of a single comparison over a step.
    double detection_threshold = 0; ///< Score at which a change detector reports a fault.
};

/** Evidence of one node since its previous message, sent to the driver. @see evidence_table::take_delta */
struct evidence_delta {
    std::string move;
    std::uint64_t generation = 0;
    std::string node;           ///< Incarnation of the sender.
    std::uint64_t sequence = 0; ///< Rises with each message, so that a duplicate is counted once.
    std::map<std::string, version_pair> routes;
};

/** A route with a fault of the new version and its evidence. @see evidence_table::find_fault */
struct route_fault {
    std::string route;
    finding found;

    bool operator==(const route_fault&) const = default;
};

/** Returns the key of the route of one plan. @see evidence_table */
std::string plan_route(const std::string& workspace, const std::string& plan);

/** Returns the key of the route of all plans of a workspace. */
std::string workspace_route(const std::string& workspace);

/// Key of the route of all traffic.
inline constexpr const char* all_routes = "";

/**
    Evidence about one move at one node: the node's own outcomes and those that other nodes report.

    Memory is bounded: at most `maximum_routes` routes are tracked separately (1.6 KB each). Outcomes of
    further routes count only in the total of all traffic. When the table is full, routes with little
    traffic are evicted to admit new ones, at most about every two minutes.

    @see decide
*/
class evidence_table {
public:
    static constexpr std::size_t maximum_routes = 1024;

    /** Counts an outcome of this node. */
    void add(const sample& observed, bool is_new_version, core::wall_time now);

    /** Adds another node's evidence; returns false, without adding it, if it was received before. */
    bool merge(const evidence_delta& received, core::wall_time now);

    /** Resets the counts of the current step, when a new step of the ramp begins. */
    void begin_step();

    /**
        Removes and returns this node's evidence that was not returned before, for at most `limit`
        routes.

        All traffic comes first, then routes with faults of the new version, then the other routes in
        turn.
    */
    std::map<std::string, version_pair> take_delta(std::size_t limit);

    /**
        Tests the routes that changed since the last call, or all routes, and returns the most important
        fault.

        Confirmed faults precede unconfirmed ones; among equals the one with the highest fault rate is
        returned.
    */
    std::optional<route_fault> find_fault(const detection_limits& limits, bool has_changed_only = true);

    /** Drops all routes except the total of all traffic. For a move that has ended. */
    void drop_single_routes();

    /** Returns a route's evidence, or null. */
    const route_evidence* find(const std::string& route) const;

    /** Returns the routes on which the new version has served at least `requests` requests. */
    std::vector<std::string> routes_with_requests(std::uint64_t requests) const;

    /** Returns the number of routes tracked, including the total of all traffic. */
    std::size_t size() const noexcept;

private:
    /** Sums of the old version's latencies on a route, measured at this node. */
    struct old_latencies {
        std::uint64_t requests = 0;
        std::chrono::microseconds first_token{0}; ///< Sum of times to the first token.
        std::chrono::microseconds gap{0};         ///< Sum of mean gaps between tokens.
    };
    struct tracked_route {
        route_evidence evidence;
        old_latencies old;
        bool is_changed = false;
    };

    tracked_route* find_or_add(const std::string& route, core::wall_time now);
    double measure_slowdown(const sample& observed, bool is_new_version, core::wall_time now);
    void evict_quiet_routes(core::wall_time now);
    void add_to(const std::string& route, const version_pair& part, core::wall_time now);

    std::map<std::string, tracked_route> routes;
    std::map<std::string, version_pair> outgoing;
    std::map<std::string, std::uint64_t> sequences;
    core::wall_time last_eviction;
    std::string last_sent;
};

/** Returns the stored form of a fault, for records and notices. */
Json::Value to_json(const route_fault& value);

/** Reads a fault. @see to_json */
route_fault fault_from_json(const Json::Value& json);

/** Returns the wire form of a delta. */
Json::Value to_json(const evidence_delta& value);

/** Reads a delta; fails with `invalid_argument` if it is malformed or lacks the move or the node. */
core::result<evidence_delta> delta_from_json(const Json::Value& json);

} // namespace samphireway::moves
