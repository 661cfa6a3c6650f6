#pragma once

#include "faults/fault_switch.h"
#include "traffic/server/front_server.h"

#include <map>
#include <mutex>
#include <string>

namespace samphireway::standin {

/** Options of a service stand-in. @see service_standin */
struct service_standin_options {
    std::string address = "127.0.0.1";
    int port = 0;
};

/**
    Stand-in for a plain HTTP service. Each POST returns the number of distinct request bodies so far as
    its record number, each GET returns its path.

    `GET /counters` returns how often each request body was run, which reveals duplicate runs. Faults:
    `delay_ms`, `lose_answers` (number of POST requests that run but whose response is cut off),
    `refuse` (POST requests get status 503 without running).
*/
class service_standin {
public:
    explicit service_standin(service_standin_options options);

    /** Starts serving HTTP. Fails when the port cannot be used. */
    core::result<void> start();

private:
    void add_routes();

    const service_standin_options options;
    fault_switch faults;
    std::mutex mutex;
    std::map<std::string, int> runs; ///< Number of runs by request body.
    traffic::front_server http;
};

} // namespace samphireway::standin
