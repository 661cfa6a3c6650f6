#pragma once

#include "gateway/exchange/gateway_context.h"

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>

namespace samphireway::gateway {

/**
    A connection from a requester: reads requests one after another and writes their responses.

    While a request is being served, the connection is watched, so that a disconnect of the requester
    is noticed at once. A request that is malformed, ambiguous, too large or too slow is answered with
    400, 408, 413 or 431 and the connection is closed; no part of the request reaches an upstream.
    Traffic thread only.

    @see exchange, front_listener
*/
class front_session : public std::enable_shared_from_this<front_session> {
public:
    front_session(gateway_context& shared, boost::asio::ip::tcp::socket connected);
    ~front_session();
    front_session(const front_session&) = delete;
    front_session& operator=(const front_session&) = delete;

    /** Starts reading requests. `on_closed` is called once when the connection is closed. */
    void start(std::function<void()> on_closed);

    /** Closes the connection if no request is being read or served. */
    void close_if_idle();

    /** Answers the request in progress by a time. */
    void answer_by(core::steady_time latest);

    /** Closes the connection at once. */
    void close();

    /** Returns whether a complete response has bytes that are not written to the requester yet. */
    bool is_in_delivery() const noexcept;

private:
    class implementation;
    std::unique_ptr<implementation> state;
};

} // namespace samphireway::gateway
