#pragma once

#include "gateway/http/internal_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <set>

namespace samphireway::gateway {

/** Options of the tunnels that a node offers to others. @see tunnel_server */
struct tunnel_server_options {
    /** Returns whether a node that shows a token may use tunnels. */
    std::function<bool(const request_message& request)> is_authorized;
    /** Returns whether an upstream is registered at an address. */
    std::function<bool(const boost::asio::ip::tcp::endpoint& address)> is_upstream;
    /** Returns whether this node can help now: it reaches the upstreams itself and is not stopping. */
    std::function<bool()> can_help;
    /** Called with the outcome of each connection to an upstream. */
    std::function<void(const boost::asio::ip::tcp::endpoint& upstream, bool is_connected)> on_connect;
    std::size_t maximum_tunnels = 256; ///< Each takes two buffers of 16 KB and two descriptors.
};

/**
    Passes on bytes between nodes that are cut off from the upstreams and the upstreams.

    A tunnel ends as a whole: with a reset if the upstream's connection broke off, so that a response without
   a length does not look complete. What is said in it, such as deadlines, limits and budgets, concerns only
   the node at its other end. A tunnel is never opened through a further node. Traffic thread only.

    @see tunnel_call
*/
class tunnel_server {
public:
    tunnel_server(boost::asio::io_context& context, tunnel_server_options options_to_use);

    /** Answers a call for a tunnel, and takes over its connection if the tunnel is opened. */
    void open(const request_message& request, boost::asio::ip::tcp::socket connection);

    /** Returns the number of open tunnels. */
    std::size_t count() const noexcept;

    /** Returns whether a response is due or still passed on in a tunnel. */
    bool is_responding(core::steady_time now) const;

private:
    class tunnel;

    boost::asio::io_context& io;
    const tunnel_server_options options;
    const std::shared_ptr<std::set<const tunnel*>> tunnels = std::make_shared<std::set<const tunnel*>>();
};

} // namespace samphireway::gateway
