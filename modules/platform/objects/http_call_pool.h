#pragma once

#include "core/core.h"

#include <chrono>
#include <cstddef>
#include <httplib.h>
#include <limits>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace samphireway::platform {

/** Options of an HTTP call pool. @see http_call_pool */
struct http_call_pool_options {
    std::string address; ///< IP address of the server.
    int port = 0;
    std::chrono::milliseconds connect_timeout{1000};
    /** A longer body fails the call. */
    std::size_t maximum_body_bytes = std::numeric_limits<std::size_t>::max();
    /** A body may take this much longer than the timeout of the call, which holds for each read. */
    std::chrono::milliseconds additional_body_time{std::chrono::minutes(10)};
};

/**
    Sends HTTP calls to one server over keep-alive connections, from any thread.

    A connection is closed after a failed call, since a late response on it would be taken for the
    response to the next call.

    @see http_platform
*/
class http_call_pool {
public:
    explicit http_call_pool(http_call_pool_options options_to_use);

    /**
        Sends a call and waits for the response, whatever its status.

        Fails with `platform_unavailable`, with verdict `not_run` only when no connection could be
        opened. Fails with `draining` after `interrupt`.
    */
    core::result<httplib::Response> send(const httplib::Request& request, std::chrono::milliseconds timeout);

    /** Aborts waiting calls and fails later ones, so that shutdown does not wait for a watch. */
    void interrupt();

private:
    bool begin_call(httplib::Client* client);
    void end_call(httplib::Client* client);
    std::unique_ptr<httplib::Client> take_client();
    void return_client(std::unique_ptr<httplib::Client> client);

    const http_call_pool_options options;
    std::mutex mutex;
    std::vector<std::unique_ptr<httplib::Client>> idle;
    std::set<httplib::Client*> active;
    bool is_interrupted = false;
};

} // namespace samphireway::platform
