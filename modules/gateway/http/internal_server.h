#pragma once

#include "core/core.h"
#include "gateway/model/messages.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <string>

namespace samphireway::gateway {

/** The response to a small request of the platform or of another node. @see internal_server */
struct internal_response {
    unsigned status = 200;
    std::string body;
    std::string content_type = "text/plain";
};

/** Answers a request, at once or later. The second argument must be called exactly once. */
using internal_handler =
    std::function<void(const request_message& request, std::function<void(internal_response)> answer)>;

/**
    Serves readiness probes, metrics and calls of other nodes, all small. Traffic thread only, so that a node
    whose traffic thread is stuck counts as not ready.
*/
class internal_server {
public:
    internal_server(boost::asio::io_context& context, const boost::asio::ip::tcp::endpoint& address,
                    internal_handler given);

    /** Starts to accept. Fails with `internal` when the address cannot be bound. */
    core::result<void> start();

private:
    void accept();

    boost::asio::io_context& io;
    const boost::asio::ip::tcp::endpoint endpoint;
    const internal_handler handler;
    boost::asio::ip::tcp::acceptor acceptor;
};

} // namespace samphireway::gateway
