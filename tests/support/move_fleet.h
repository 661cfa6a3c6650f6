#pragma once

#include "moves/moves.h"
#include "support/fake_object_store.h"

#include <array>
#include <deque>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace samphireway::testing {

/** Fault of the new version. */
enum class fault_kind { none, at_once, later, under_load, one_route, slow, empty_answers };

/** Faults and random seed of one simulated move. */
struct move_scenario {
    std::uint64_t seed = 0;
    fault_kind kind = fault_kind::none;
    bool loses_messages = false;      ///< 30% of the messages between nodes are lost.
    bool crashes_driver = false;      ///< The driving node crashes once 15% of the duration have passed.
    bool has_platform_outage = false; ///< The platform is down from 20% to 45% of the duration.
    bool has_shared_fault = false;    ///< For 60 s, 30% of the requests to either version fail.
    bool ramps_by_time = false;       ///< Baseline: ramps by time alone, without a controller.
    bool is_partly_slow = false; ///< A slow version takes 2.5 times as long for 30% to 100% of the requests.
};

/** Outcome of a simulated move. Times are in seconds from the start; -1 if it did not happen. */
struct move_result {
    moves::move_state state{};
    std::string reason;
    bool is_done_in_time = false;
    bool is_stopped = false; ///< No request went to the new version in the last 10 s.
    double worst_share = 0;  ///< Largest share of an affected route's requests sent to the new version.
    /// When a node first stopped the move, or had seen 30 faulty outcomes among the last 150 of a route at
    /// the new version.
    double detectable_at = -1;
    double fleet_detectable_at = -1;         ///< When all nodes together had seen 30 faulty outcomes.
    double last_sent = -1;                   ///< Last request to the new version.
    std::uint64_t bad_requests = 0;          ///< Requests sent to the new version while it was faulty.
    std::vector<moves::move_record> history; ///< The move's records in the platform, in order of time.
};

/**
    Simulates a move with several move controllers, a fake platform, random requests and an injected clock.

    Each route has Poisson arrivals. A controller chooses the version for each request, and a model of that
    version answers it. Messages between nodes take 100 ms.
*/
class move_fleet {
public:
    explicit move_fleet(const move_scenario& scenario);

    /** Runs until the deadline or the final state; after a fault, also until 30 s after the last request. */
    move_result run();

private:
    static constexpr std::chrono::milliseconds tick{100};
    static constexpr std::chrono::seconds duration{1200};
    static constexpr std::size_t nodes = 3;
    static constexpr std::array<double, 6> rates{20, 14, 8, 4, 2, 0.1}; ///< Requests/s by route.
    static constexpr std::size_t faulty_route = 1;
    static constexpr std::uint64_t detectable_faults = 30;
    static constexpr std::size_t detection_window = 150;

    struct pending_answer {
        std::size_t node = 0;
        moves::sample observed;
        std::size_t route = 0;
        bool is_faulty = false;
    };
    struct member {
        std::unique_ptr<moves::move_controller> controller;
        std::deque<std::function<void()>> tasks;
        std::array<std::deque<bool>, rates.size()> seen; ///< Whether recent outcomes were faulty, by route.
        bool is_alive = true;
    };

    void add_node(std::size_t index);
    void send_requests();
    void send(std::size_t route);
    pending_answer answer(std::size_t node, std::size_t route, const std::string& version);
    bool is_faulty(std::size_t route) const;
    void finish_requests();
    void run_tasks();
    void apply_events();
    void observe_outcomes(std::size_t node, std::size_t route, std::uint64_t requests, std::uint64_t faults);
    void observe_stop(const moves::move_controller& controller);
    void record_history();
    double seconds() const;
    bool chance(double probability);
    move_result make_result();

    const move_scenario scenario;
    std::mt19937_64 random;
    fake_object_store store;
    configuration::repository configuration{1};
    core::wall_time start = core::from_unix_ms(1'700'000'000'000);
    core::wall_time now = start;
    std::vector<member> members;
    std::vector<std::vector<pending_answer>> answers; ///< Answers due at each tick, as a ring buffer.
    std::deque<std::pair<core::wall_time, std::function<void()>>> messages;
    std::size_t ticks = 0;
    std::array<std::uint64_t, rates.size()> total{};
    std::array<std::uint64_t, rates.size()> new_version_requests{};
    double fault_start = 0;        ///< Start of the new version's fault, in seconds.
    double shared_fault_start = 0; ///< Start of the shared fault, in seconds.
    double slow_factor = 1;
    std::uint64_t all_faults = 0; ///< Faulty outcomes seen by all nodes.
    double fault_rate = 0;        ///< Share of requests that a fault affects.
    double latency_factor = 1;    ///< Latency of the new version without its fault, relative to the old one.
    std::array<double, 2> new_load{}; ///< Requests to the new version in the previous and the current second.
    move_result result;
};

} // namespace samphireway::testing
