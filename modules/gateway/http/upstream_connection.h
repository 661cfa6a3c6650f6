#pragma once

#include "core/core.h"
#include "gateway/model/member.h"
#include "gateway/model/messages.h"
#include "gateway/tunnel/tunnel_call.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>

namespace samphireway::gateway {

/** How a request on an upstream's connection ended. @see upstream_hooks */
enum class upstream_result {
    complete,      ///< The whole response was received.
    not_connected, ///< No connection was opened, so no byte of the request was sent.
    broken         ///< The connection failed or the response was malformed; the request may have run.
};

/** The request to which a response belongs. @see upstream_hooks */
enum class response_owner {
    this_request,
    earlier_request ///< A late or unexpected response; it is discarded and the next one is read.
};

/** Receives the response of one request. No hook is called after `on_end` or `upstream_connection::close`. */
struct upstream_hooks {
    std::function<response_owner(const response_head&)> on_head;
    std::function<void(std::string_view bytes)> on_body;
    std::function<void(upstream_result)> on_end;
};

/** How a connection reaches its upstream. @see upstream_connection */
struct upstream_link {
    /** The node through which the upstream is reached; empty for a connection of this node's own. */
    std::optional<member> helper;
    /** Called with the outcome of opening the connection. */
    std::function<void(link_outcome outcome)> on_connect;
};

/**
    An HTTP/1.1 connection to an upstream. It serves one request at a time and stays open between
    requests.

    The response is read while the request is still being written, since an upstream may respond early.
    While idle, the connection closes itself if the upstream closes it or sends bytes that belong to no
    request. Traffic thread only.

    @see upstream_pool
*/
class upstream_connection : public std::enable_shared_from_this<upstream_connection> {
public:
    upstream_connection(boost::asio::io_context& context, boost::asio::ip::tcp::endpoint upstream_endpoint,
                        upstream_link link = {});
    ~upstream_connection();
    upstream_connection(const upstream_connection&) = delete;
    upstream_connection& operator=(const upstream_connection&) = delete;

    /** Sends a request and opens the connection first if necessary. @pre no request is in progress */
    void send(const request_message& request, upstream_hooks hooks);

    /** Stops reading the response until `resume_reading`, so that a slow requester does not fill this node's
     * memory. */
    void pause_reading();

    /** Continues reading after `pause_reading`. */
    void resume_reading();

    /** Closes the connection, upon which the upstream cancels the request in progress. Idempotent. */
    void close();

    /** Returns whether another request may be sent on the connection now. */
    bool is_reusable(core::steady_time now);

    /** Returns whether the connection was opened for the current request. */
    bool is_new() const noexcept;

    /** Returns whether the connection goes through another node. */
    bool is_tunnelled() const noexcept;

    /** Returns whether the other node failed to open the connection. */
    bool has_helper_failed() const noexcept;

    /** Records that the upstream refused an attempt on this connection. */
    void record_refusal(const std::string& attempt_id);

    /** Returns whether the upstream refused an attempt on this connection. A copy of that refusal could still
     * arrive and would look like the response to a repeat of the attempt. */
    bool has_refused(const std::string& attempt_id) const;

    /** Returns the address of the upstream. */
    const boost::asio::ip::tcp::endpoint& endpoint() const noexcept;

private:
    class implementation;
    std::unique_ptr<implementation> state;
    std::unordered_set<std::string> refused_attempts;
};

} // namespace samphireway::gateway
