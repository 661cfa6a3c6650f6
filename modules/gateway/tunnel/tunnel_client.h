#pragma once

#include "core/core.h"
#include "gateway/model/member.h"
#include "gateway/model/upstream.h"
#include "gateway/tunnel/tunnel_call.h"
#include "gateway/tunnel/upstream_reach.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace samphireway::gateway {

/** Options of the tunnels that a node uses. @see tunnel_client */
struct tunnel_client_options {
    const std::string& node;              ///< Id of this node.
    const std::string& availability_zone; ///< Nodes in the same one are asked first.
    std::function<std::shared_ptr<const member_list>()> members;
    std::function<std::shared_ptr<const upstream_table>()> upstreams;
    core::clock time = {};
};

/**
    Knows whether this node is cut off from the upstreams, and through which nodes it reaches them meanwhile.

    When connections fail, it asks other nodes for tunnels to the same upstreams; one that is opened shows
   that this node is cut off. While it is, it looks for further helpers and tries to connect to upstreams
   itself, until it reaches two of them. Each node draws its helpers at random, so that the nodes of a zone do
   not all choose the same. In calm it sends nothing. Traffic thread only.

    @see upstream_pool, tunnel_server
*/
class tunnel_client {
public:
    tunnel_client(boost::asio::io_context& context, tunnel_client_options options_to_use);

    /** Returns whether connections to upstreams must be opened through other nodes. */
    bool is_needed() const noexcept
    {
        return this->reach.state() == reach_state::cut_off;
    }

    /** Returns the node through which to open the next connection, or nothing if none is known. */
    std::optional<member> choose();

    /** Records the outcome of a connection that this node opened to an upstream itself. */
    void record_own(const boost::asio::ip::tcp::endpoint& upstream, bool is_connected);

    /** Records the outcome of a tunnel through another node. */
    void record_helper(const std::string& id, link_outcome outcome);

private:
    struct helper_state {
        bool is_proven = false; ///< Whether it has opened a tunnel, and no more than a few failed since.
        bool is_tried = false;  ///< Whether a tunnel is being opened to find out.
        int failures = 0;
        core::steady_time skipped_until;
    };

    struct nodes_by_zone {
        std::vector<member> near; ///< In this node's zone.
        std::vector<member> far;
    };

    void search();
    void try_to_confirm();
    void try_helpers();
    void try_tunnel(const member& helper, const boost::asio::ip::tcp::endpoint& upstream);
    std::vector<member> draw_untried();
    void try_own_link();
    nodes_by_zone candidates(bool is_proven);
    upstream_reach_options reach_options();
    std::vector<std::shared_ptr<const upstream>> registered_upstreams() const;
    std::optional<boost::asio::ip::tcp::endpoint> draw_upstream();

    boost::asio::io_context& io;
    const tunnel_client_options options;
    upstream_reach reach;
    std::map<std::string, helper_state> helpers;
    std::minstd_rand random{std::random_device{}()};
    boost::asio::steady_timer timer;
    core::steady_time next_own_attempt;
    core::steady_time doubted_until;
};

} // namespace samphireway::gateway
