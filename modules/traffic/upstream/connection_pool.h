#pragma once

#include "core/core.h"

#include <chrono>
#include <httplib.h>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <tuple>
#include <vector>

namespace samphireway::traffic {

/** Address of an upstream. @see connection_pool */
struct endpoint {
    std::string address; ///< Numeric IP address.
    int port = 0;
    bool uses_tls = false;

    bool operator<(const endpoint& other) const
    {
        return std::tie(this->address, this->port, this->uses_tls) <
               std::tie(other.address, other.port, other.uses_tls);
    }
};

/** Options of the connections to upstreams. @see connection_pool */
struct connection_options {
    std::chrono::milliseconds connect_timeout{500};
    std::chrono::milliseconds read_timeout{10000};
    std::size_t maximum_idle = 64;                 ///< Idle connections kept per endpoint.
    std::chrono::milliseconds idle_lifetime{4000}; ///< Shorter than the common keep-alive timeout of servers.
    bool verifies_certificates = true; ///< Whether an upstream's certificate and address are checked.
    std::string tls_ca_file;           ///< CA certificates in PEM format; empty for those of the system.
};

/**
    Keeps idle connections to upstreams.

    Use a client for one call, and return it with `give_back` only if the whole answer was read.

    @see endpoint
*/
class connection_pool {
public:
    explicit connection_pool(connection_options options);

    /** Returns an idle connection, or a client that connects on its first call. */
    std::unique_ptr<httplib::Client> take(const endpoint& where);

    /** Returns a client that connects on its first call, for calls that need a fresh connection. */
    std::unique_ptr<httplib::Client> connect(const endpoint& where) const;

    /**
        Keeps a connection for a later call, or closes it when the endpoint has `maximum_idle`
        connections.
    */
    void give_back(const endpoint& where, std::unique_ptr<httplib::Client> client);

private:
    struct idle_connection {
        std::unique_ptr<httplib::Client> client;
        core::steady_time expires;
    };

    const connection_options options;
    std::mutex mutex;
    std::map<endpoint, std::vector<idle_connection>> idle;
};

} // namespace samphireway::traffic
