#pragma once

#include "core/core.h"

#include <chrono>
#include <httplib.h>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace samphireway::platform {

/** Options of a call pool. @see http_call_pool */
struct http_call_pool_options {
    std::string address; ///< IP number.
    int port = 0;
    std::chrono::milliseconds connect_timeout{1000};
};

/**
    Sends HTTP calls to one server over kept connections, from any thread.

    A connection on which a call failed is closed, since a late response would be taken for the next one.

    @see http_platform
*/
class http_call_pool {
public:
    explicit http_call_pool(http_call_pool_options given);

    /**
        Sends a call and waits for the response, whatever its status.

        Fails with `platform_unavailable`; the verdict is `not_run` only when no connection could be opened.
       Fails with `draining` after `interrupt`.
    */
    core::result<httplib::Response> send(const httplib::Request& request, std::chrono::milliseconds timeout);

    /** Ends calls that wait and fails later ones, so that a stop need not wait for a watch. */
    void interrupt();

private:
    bool begin_call(httplib::Client* client);
    void end_call(httplib::Client* client);
    std::unique_ptr<httplib::Client> take_client();
    void give_back(std::unique_ptr<httplib::Client> client);

    const http_call_pool_options options;
    std::mutex mutex;
    std::vector<std::unique_ptr<httplib::Client>> idle;
    std::set<httplib::Client*> active;
    bool is_interrupted = false;
};

} // namespace samphireway::platform
