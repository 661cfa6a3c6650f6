#pragma once

#include "core/core.h"

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <limits>
#include <set>

namespace samphireway::gateway {

/** Options of what a node knows of its own links. @see upstream_reach */
struct upstream_reach_options {
    /** Failures without a success between them until the node counts as cut off, each of another upstream if
     * there are so many. Fewer upstreams may fail by themselves at the same time. */
    int failures_to_cut = 3;
    /** Successes without a failure between them until it counts as connected again. */
    int successes_to_return = 2;
    /** Failures that are older tell nothing of the present. */
    std::chrono::milliseconds failure_age{2000};
    /** Returns the number of registered upstreams. */
    std::function<std::size_t()> upstreams = [] {
        return std::numeric_limits<std::size_t>::max();
    };
    core::clock time = {};
};

/**
    Whether this node reaches upstreams at all, from the outcomes of the connections that it opens itself.

    Connections that are already open are no evidence: they may live on while new ones are refused. Traffic
    thread only.

    @see tunnel_client
*/
class upstream_reach {
public:
    explicit upstream_reach(upstream_reach_options options_to_use = {});

    /** Records that a connection to an upstream was opened. */
    void record_success();

    /** Records that a connection to an upstream was refused or not answered. */
    void record_failure(const boost::asio::ip::tcp::endpoint& upstream);

    /** Returns whether this node is cut off from the upstreams. */
    bool is_cut_off() const noexcept
    {
        return this->is_cut;
    }

    /** Called when the node counts as cut off. */
    std::function<void()> on_cut_off;

private:
    void change(bool is_now_cut);

    const upstream_reach_options options;
    std::set<boost::asio::ip::tcp::endpoint> failed;
    int failures = 0;
    int successes = 0;
    core::steady_time last_failure;
    bool is_cut = false;
};

} // namespace samphireway::gateway
