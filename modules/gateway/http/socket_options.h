#pragma once

#include "core/core.h"

#include <boost/asio/ip/tcp.hpp>
#include <chrono>

namespace samphireway::gateway {

/** How soon a silent peer is noticed. @see set_socket_options */
struct silence_limits {
    std::chrono::milliseconds unacknowledged{1500}; ///< Data without an acknowledgement; TCP_USER_TIMEOUT.
    std::chrono::seconds probe_after{1};            ///< Idle time before the first keep-alive probe.
    int probes = 2; ///< Lost probes, one a second, until the connection fails.
};

/** Sends small writes at once and lets connections fail whose peer has gone silent. Options that the system
 * refuses are logged and left out. */
void set_socket_options(boost::asio::ip::tcp::socket& socket, const silence_limits& limits = {});

/** Binds an acceptor to an address and starts to listen. Fails with `internal`. */
core::result<void> listen_on(boost::asio::ip::tcp::acceptor& acceptor,
                             const boost::asio::ip::tcp::endpoint& address, int backlog);

} // namespace samphireway::gateway
