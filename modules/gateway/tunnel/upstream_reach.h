#pragma once

#include "core/core.h"

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <limits>
#include <set>

namespace samphireway::gateway {

/** What a node knows of its own links to the upstreams. @see upstream_reach */
enum class reach_state {
    connected,
    doubted, ///< Connections failed; the upstreams may be down, or this node may be cut off from them.
    cut_off  ///< Another node has reached an upstream to which this node could not connect.
};

/** Options of what a node knows of its own links. @see upstream_reach */
struct upstream_reach_options {
    /** Failures without a success between them until the links are doubted, each of another upstream if there
     * are so many. */
    int failures_to_doubt = 3;
    /** Successes without a failure between them until a node that is cut off counts as connected again. */
    int successes_to_return = 2;
    /** Failures that are older tell nothing of the present. */
    std::chrono::milliseconds failure_age{2000};
    /** Returns the number of registered upstreams. */
    std::function<std::size_t()> upstreams = [] {
        return std::numeric_limits<std::size_t>::max();
    };
    /** Called when the links are doubted. */
    std::function<void()> on_doubt = [] {
    };
    core::clock time = {};
};

/**
    Whether this node reaches upstreams at all, from the outcomes of the connections that it opens itself.

    Failures alone cannot tell a cut from several upstreams that are down, so a doubt must be confirmed by
    another node. Connections that are already open are no evidence: they may live on while new ones are
   refused. Traffic thread only.

    @see tunnel_client
*/
class upstream_reach {
public:
    explicit upstream_reach(upstream_reach_options options_to_use = {});

    /** Records that a connection to an upstream was opened. */
    void record_success();

    /** Records that a connection to an upstream was refused or not answered. */
    void record_failure(const boost::asio::ip::tcp::endpoint& upstream);

    /** Records that another node has reached one of the upstreams that failed. */
    void confirm_doubt();

    /** Ends a doubt that was not confirmed. */
    void dismiss_doubt();

    reach_state state() const noexcept
    {
        return this->current;
    }

    /** Returns the upstreams that failed since the last success. */
    const std::set<boost::asio::ip::tcp::endpoint>& failed_upstreams() const noexcept
    {
        return this->failed;
    }

private:
    void change(reach_state next);

    const upstream_reach_options options;
    std::set<boost::asio::ip::tcp::endpoint> failed;
    int failures = 0;
    int successes = 0;
    core::steady_time last_failure;
    reach_state current = reach_state::connected;
};

} // namespace samphireway::gateway
