#pragma once

#include "faults/fault_switch.h"
#include "platform/object_table.h"
#include "platform/rate_limit.h"
#include "platform/vm_table.h"
#include "traffic/server/front_server.h"

#include <atomic>
#include <memory>
#include <vector>

namespace samphireway::standin {

/** Options of the platform stand-in. @see platform_standin */
struct platform_standin_options {
    std::string address = "127.0.0.1";
    int port = 0;
    /** Number of consecutive ports, one per availability zone. All serve the same objects, each with its own
        faults. */
    int endpoint_count = 1;
};

/** Server on one port of the platform stand-in, with its faults. */
struct platform_endpoint {
    std::unique_ptr<fault_switch> faults;
    std::unique_ptr<traffic::front_server> server;
};

/**
    Stand-in for the platform's object API and VM list.

    Faults of each endpoint: `outage` (status 503), `silent` (never responds), `silent_watch` (watches
    never respond), `delay_ms`, `lose_answers` (number of writes that take effect but get status 504),
    `rate_limited` (number of calls that get status 429), `vms_lag_ms` (age of the VM list).

    The rate limits `reads_per_second` and `writes_per_second` apply to all endpoints together; the
    largest value set at any of them is used, and a watch counts as one read.

    `GET /counters` returns the numbers of reads, writes, watches, waiting watches and calls over the
    rate limit. `PUT /vms` sets the VM list.
*/
class platform_standin {
public:
    explicit platform_standin(platform_standin_options options);

    /** Starts all endpoints. Fails when a port cannot be used. */
    core::result<void> start();

private:
    void add_routes(platform_endpoint& endpoint);
    void add_list_routes(platform_endpoint& endpoint, httplib::Server& server);
    bool admit(const platform_endpoint& endpoint, bool is_write, httplib::Response& response);
    bool apply_faults(const platform_endpoint& endpoint, httplib::Response& response);
    void add_write_routes(platform_endpoint& endpoint, httplib::Server& server);
    void add_read_routes(platform_endpoint& endpoint, httplib::Server& server);
    void add_control_routes(httplib::Server& server);

    const platform_standin_options options;
    object_table objects;
    vm_table vms;
    rate_limit read_limit;
    rate_limit write_limit;
    std::atomic<std::uint64_t> reads = 0;
    std::atomic<std::uint64_t> writes = 0;
    std::atomic<std::uint64_t> watches = 0;
    std::atomic<std::uint64_t> waiting_watches = 0;
    std::atomic<std::uint64_t> refused = 0;
    std::vector<platform_endpoint> endpoints;
};

} // namespace samphireway::standin
