#pragma once

#include "gateway/http/front_session.h"

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <set>

namespace samphireway::gateway {

/** Accepts connections from requesters. Traffic thread only. @see front_session */
class front_listener {
public:
    front_listener(gateway_context& shared, const boost::asio::ip::tcp::endpoint& address);

    /** Starts accepting connections, unless it has done so. Fails like `listen_on`. */
    core::result<void> start();

    /** Closes connections that have no request in progress. New connections are still accepted. */
    void close_idle();

    /** Answers the requests in progress by a time. */
    void answer_by(core::steady_time latest);

    /** Closes the connections, which ends their requests, except those that only deliver the rest of a
     * complete response. */
    void close_all_but_deliveries();

    /** Returns the number of open connections. */
    std::size_t open_connections() const noexcept
    {
        return this->sessions.size();
    }

private:
    void accept();

    gateway_context& context;
    const boost::asio::ip::tcp::endpoint endpoint;
    boost::asio::ip::tcp::acceptor acceptor;
    std::set<std::shared_ptr<front_session>> sessions;
};

} // namespace samphireway::gateway
