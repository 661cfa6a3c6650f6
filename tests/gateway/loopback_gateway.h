#pragma once

#include "gateway/exchange/gateway_context.h"
#include "gateway/http/front_listener.h"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace samphireway::testing {

/** The reply of a scripted upstream to one request. @see scripted_upstream */
struct upstream_reply {
    std::vector<std::string> parts; ///< Pieces of the response, written one after the other.
    bool is_closed = false;         ///< Whether the connection is closed after the last part.
    bool is_reset = false;          ///< Whether the connection is reset after the last part.
    bool is_endless = false;        ///< Whether the last part is written again until the connection fails.
    std::chrono::milliseconds pause{5}; ///< Time between two parts.
};

/** A request as an upstream received it. */
struct received_request {
    std::string head;
    std::string body;
    int connection = 0; ///< Number of the upstream's connection on which it arrived, from 1.

    /** Returns the value of a header; empty if absent. */
    std::string header(const std::string& name) const;
};

/**
    An upstream on the loopback interface whose replies come from a function.

    The function receives each request and returns the reply. `{id}` in a part is replaced by the
    request's attempt id.
*/
class scripted_upstream {
public:
    using script = std::function<upstream_reply(const received_request&)>;

    scripted_upstream(boost::asio::io_context& context, std::string name, script script_to_use);
    ~scripted_upstream();
    scripted_upstream(const scripted_upstream&) = delete;
    scripted_upstream& operator=(const scripted_upstream&) = delete;

    /** Returns the entry with which this upstream is registered at the gateway. */
    gateway::upstream entry() const;

    /** Returns the requests received so far. */
    const std::vector<received_request>& requests() const;

    /** From now on a reply is written once the head of its request has arrived, and the body is read after
     * it. The receive buffer of further connections is small. */
    void read_bodies_late();

    /** Returns the number of connections that the gateway has closed. */
    int closed_connections() const;

private:
    class implementation;
    std::unique_ptr<implementation> state;
};

/**
    The traffic part of a gateway on the loopback interface, with scripted upstreams that use the
    platform's headers.

    Runs on one thread. Each call runs the event loop until its response is complete or the connection
    ends, but at most 20 s, so that a test cannot hang.
*/
class loopback_gateway {
public:
    /** @param response_memory bytes that incomplete responses may take together */
    explicit loopback_gateway(std::size_t response_memory = std::size_t{32} << 20U);
    ~loopback_gateway();
    loopback_gateway(const loopback_gateway&) = delete;
    loopback_gateway& operator=(const loopback_gateway&) = delete;

    /** Adds an upstream of the service `desk`. */
    scripted_upstream& add_upstream(scripted_upstream::script script_to_use);

    /** Publishes a configuration with one route, `/r/` of `shop.example`, and the API key `k1`. */
    void configure(gateway::route changed, std::size_t body_limit = 8192);

    /** Sends bytes on a new connection and returns what is received until the connection is idle or ends. */
    std::string send(const std::string& bytes);

    /** Sends requests at once, each on a new connection, and returns what `send` would for each. */
    std::vector<std::string> send_together(const std::vector<std::string>& requests);

    /** Sends bytes on a new connection with a small receive buffer, from which `read_rest` reads. */
    void send_without_reading(const std::string& bytes);

    /** Returns what the connection of `send_without_reading` receives until it is closed. */
    std::string read_rest();

    /** Closes the connection of `send_without_reading`. */
    void leave();

    /** Closes the requesters' connections as a stopping node does at the end of its grace. */
    void close_all_but_deliveries();

    /** Sends bytes and closes the connection as soon as the first upstream has received the request. */
    void send_and_leave(const std::string& bytes);

    /** Runs the event loop until a condition holds, for at most 20 s. Returns whether it holds. */
    bool run_until(const std::function<bool()>& condition);

    /** Has the requests in progress answered by a time. */
    void answer_by(core::steady_time latest);

    gateway::drain_state& drain();
    gateway::counters& counts();

    /** Publishes an order to roll out a version of the service `desk`. */
    void start_rollout(const std::string& target);

    /** Returns the evidence that the gateway now reports of the roll-out. */
    gateway::version_evidence rollout_evidence();

    /** Returns the tokens that were drawn from the workspace's budget and are not free again. */
    std::int64_t billed_tokens() const;

private:
    class implementation;
    std::unique_ptr<implementation> state;
};

} // namespace samphireway::testing
