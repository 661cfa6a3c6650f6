#pragma once

#include "core/core.h"
#include "gateway/model/member.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>

namespace samphireway::gateway {

/** Method of the call with which a node asks another for a tunnel; its target is ADDRESS:PORT. */
inline constexpr const char* tunnel_method = "CONNECT";

/** How the opening of a connection to an upstream ended. @see link_outcome_of */
enum class link_outcome {
    connected,
    upstream_failed, ///< The upstream could not be connected to, by this node or by its helper.
    helper_failed    ///< The other node opened no tunnel; this says nothing of the upstream.
};

/** Returns how a call for a tunnel ended. */
link_outcome link_outcome_of(const core::result<boost::asio::ip::tcp::socket>& opened);

/**
    Asks another node for a tunnel to an upstream: a connection whose bytes that node passes on both ways.

    @see tunnel_server, RFC 9110 section 9.3.6
*/
class tunnel_call : public std::enable_shared_from_this<tunnel_call> {
public:
    /** Receives the connection to the other node, through which the upstream is reached. Fails with
     * `no_upstream` if that node does not open the tunnel, and with `upstream_timeout` if it is late. */
    using handler = std::function<void(core::result<boost::asio::ip::tcp::socket>)>;

    tunnel_call(boost::asio::io_context& io, member helper_to_use,
                boost::asio::ip::tcp::endpoint upstream_to_use);
    ~tunnel_call();
    tunnel_call(const tunnel_call&) = delete;
    tunnel_call& operator=(const tunnel_call&) = delete;

    /** Starts the call. The handler is called once, unless the call is cancelled. */
    void start(core::steady_time deadline, handler on_done);

    /** Gives the call up. Idempotent. */
    void cancel();

private:
    class implementation;

    void request();
    void read_answer();
    void finish(core::result<boost::asio::ip::tcp::socket> outcome);
    void fail(core::error_code code, const std::string& reason);

    const member helper;
    const boost::asio::ip::tcp::endpoint upstream;
    std::unique_ptr<implementation> state;
};

} // namespace samphireway::gateway
