#pragma once

#include "faults/fault_switch.h"
#include "traffic/server/front_server.h"

#include <atomic>
#include <thread>

namespace samphireway::standin {

/** Options of a link stand-in. @see link_standin */
struct link_standin_options {
    int port = 0;         ///< Loopback port that accepts connections.
    int target_port = 0;  ///< Loopback port to which connections are forwarded.
    int control_port = 0; ///< Port that serves `/faults` and `/counters`.
};

/**
    Stand-in for a network path with faults: forwards TCP connections from one loopback port to another.

    Faults: `cut` (resets open connections and refuses new ones), `silent` (connections that were open
    when it was switched on forward no more bytes; new ones work), `delay_ms` (delay before each
    forwarded piece, in both directions).

    @see platform_standin, engine_standin
*/
class link_standin {
public:
    explicit link_standin(link_standin_options options);

    /** Starts forwarding. Fails when a port cannot be used. */
    core::result<void> start();

private:
    struct connection;

    void accept_all();
    void serve_connection(int accepted);
    void forward(connection& state, int from, int to);
    bool wait_while_silent(connection& state);

    const link_standin_options options;
    fault_switch faults;
    std::atomic<std::int64_t> open_connections = 0;
    std::atomic<std::int64_t> accepted_connections = 0;
    std::atomic<std::int64_t> refused_connections = 0;
    std::atomic<std::int64_t> bytes = 0;
    traffic::front_server control;
    int listener = -1;
};

} // namespace samphireway::standin
