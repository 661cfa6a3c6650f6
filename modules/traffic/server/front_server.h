#pragma once

#include "core/core.h"

#include <functional>
#include <httplib.h>
#include <memory>
#include <string>
#include <thread>

namespace samphireway::traffic {

/** Options of a server. @see front_server */
struct front_server_options {
    std::string address; ///< Numeric IP address.
    int port = 0;
    std::size_t maximum_threads = 4096; ///< One thread serves one open connection.
    std::size_t maximum_body_bytes = 4U << 20U;
    std::chrono::milliseconds write_timeout{30000}; ///< Longest time without progress of a reader.
    std::string tls_certificate_file;               ///< Empty for plain HTTP.
    std::string tls_key_file;
};

/**
    HTTP server configured for a router: TCP_NODELAY, long keep-alive, a limit of the body size, and
    threads that are started on demand.

    Add handlers through `server`, then call `start`.

    @see chat_handler
*/
class front_server {
public:
    explicit front_server(front_server_options options);
    ~front_server();
    front_server(const front_server&) = delete;
    front_server& operator=(const front_server&) = delete;

    /** Returns the library's server, for adding handlers before `start`. */
    httplib::Server& server();

    /**
        Binds the address and serves on a new thread. Fails with `invalid_argument` when the address
        cannot be bound or the TLS files cannot be used.
    */
    core::result<void> start();

    /** Stops accepting and waits for running requests. Idempotent. */
    void stop();

private:
    const front_server_options options;
    std::unique_ptr<httplib::Server> http;
    socket_t listener = INVALID_SOCKET;
    std::thread thread;
};

} // namespace samphireway::traffic
