#pragma once

#include "core/core.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <string>

namespace samphireway::gateway {

/** What a probe server answers. @see probe_server */
struct probe_hooks {
    std::function<bool()> is_ready;
    std::function<std::string()> metrics; ///< In text exposition format.
};

/**
    Answers readiness probes with 200 or 503, and `/metrics` with counters. Traffic thread only, so that a
    node whose traffic thread is stuck counts as not ready.
*/
class probe_server {
public:
    probe_server(boost::asio::io_context& context, const boost::asio::ip::tcp::endpoint& address,
                 probe_hooks given);

    /** Starts to accept. Fails with `internal` when the address cannot be bound. */
    core::result<void> start();

private:
    void accept();

    boost::asio::io_context& io;
    const boost::asio::ip::tcp::endpoint endpoint;
    const probe_hooks hooks;
    boost::asio::ip::tcp::acceptor acceptor;
};

} // namespace samphireway::gateway
