#pragma once

#include "core/core.h"

#include <boost/asio/ip/tcp.hpp>
#include <chrono>

namespace samphireway::gateway {

/** Limits after which a connection to an unresponsive peer fails. @see set_socket_options */
struct unresponsive_peer_limits {
    /** Longest wait for an ACK; TCP_USER_TIMEOUT. It also ends a connection at the first unanswered probe
     * after this time, so it is longer than the time to the last probe. */
    std::chrono::milliseconds unacknowledged_data{2500};
    std::chrono::seconds keep_alive_idle{1}; ///< Idle time before the first keep-alive probe.
    int keep_alive_probes = 2; ///< Unanswered probes, one a second, after which the connection fails.
};

/** Disables Nagle's algorithm and makes the connection fail when its peer stops responding. An option that
 * the system refuses is logged and skipped. */
void set_socket_options(boost::asio::ip::tcp::socket& socket, const unresponsive_peer_limits& limits = {});

/**
    Sets how long sent data may stay unacknowledged until the connection fails; zero stands for no limit.

    The limit also ends connections to a peer that acknowledges every probe and only keeps its window closed.
*/
void set_acknowledgement_timeout(boost::asio::ip::tcp::socket& socket, std::chrono::milliseconds timeout);

/** Returns whether the peer may not have acknowledged all sent data yet. */
bool has_unacknowledged_data(boost::asio::ip::tcp::socket& socket);

/** Binds an acceptor to an address and starts listening. Fails with `conflict` if the address is in use or
 * missing, and with `overloaded` if no descriptor is free, which may pass, and else with `internal`. */
core::result<void> listen_on(boost::asio::ip::tcp::acceptor& acceptor,
                             const boost::asio::ip::tcp::endpoint& address, int backlog);

} // namespace samphireway::gateway
