#pragma once

#include "core/core.h"
#include "gateway/http/upstream_connection.h"
#include "gateway/model/upstream.h"
#include "gateway/tunnel/tunnel_client.h"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace samphireway::gateway {

/**
    Idle connections to upstreams; the most recently used one is reused first. Traffic thread only.

    @see upstream_connection
*/
class upstream_pool {
public:
    /** @param tunnels_to_use ways to upstreams that this node cannot reach itself; null for none */
    explicit upstream_pool(boost::asio::io_context& context, tunnel_client* tunnels_to_use = nullptr);

    /** Returns an idle connection to an upstream, or a new one that its `send` opens. */
    std::shared_ptr<upstream_connection> acquire(const upstream& target, core::steady_time now);

    /** Keeps a connection whose request has ended if it can be reused, otherwise closes it. */
    void release(const std::string& upstream_id, std::shared_ptr<upstream_connection> connection,
                 core::steady_time now);

    /** Closes the idle connections to an upstream. */
    void drop(const std::string& upstream_id);

    /** Closes idle connections that cannot be reused and those to upstreams that are not in `listed`. */
    void sweep(const upstream_table& listed, core::steady_time now);

    /** Returns the number of connections that `acquire` has created so far. */
    std::uint64_t opened() const noexcept
    {
        return this->opened_count;
    }

private:
    std::shared_ptr<upstream_connection> open(const boost::asio::ip::tcp::endpoint& endpoint);
    bool is_fitting(const upstream_connection& connection) const;

    boost::asio::io_context& io;
    tunnel_client* const tunnels;
    std::unordered_map<std::string, std::vector<std::shared_ptr<upstream_connection>>> idle;
    std::uint64_t opened_count = 0;
};

} // namespace samphireway::gateway
