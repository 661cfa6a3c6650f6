#pragma once

#include "core/core.h"
#include "gateway/model/messages.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <string>

namespace samphireway::gateway {

/** The response to a call of the platform or of another node. @see internal_server */
struct internal_response {
    unsigned status = 200;
    std::string body;
    std::string content_type = "text/plain";
    header_list headers; ///< Further headers.
};

/** Handles a call. It must call `answer` exactly once, at once or later. */
using internal_handler =
    std::function<void(const request_message& request, std::function<void(internal_response)> answer)>;

/** Takes over a connection on which another node asks for a tunnel. @see tunnel_server */
using tunnel_handler =
    std::function<void(const request_message& request, boost::asio::ip::tcp::socket connection)>;

/**
    Serves readiness probes, metrics and calls of other nodes, all of which are small.

    Runs on the traffic thread only, so that a node whose traffic thread is blocked counts as not ready.
*/
class internal_server {
public:
    internal_server(boost::asio::io_context& context, const boost::asio::ip::tcp::endpoint& address,
                    internal_handler handler_to_use, tunnel_handler on_tunnel_to_use = nullptr);

    /** Starts accepting connections, unless it has done so. Fails like `listen_on`. */
    core::result<void> start();

private:
    void accept();

    boost::asio::io_context& io;
    const boost::asio::ip::tcp::endpoint endpoint;
    const internal_handler handler;
    const tunnel_handler on_tunnel;
    boost::asio::ip::tcp::acceptor acceptor;
};

} // namespace samphireway::gateway
