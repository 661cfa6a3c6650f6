#pragma once

#include "gateway/exchange/gateway_context.h"
#include "gateway/http/front_listener.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace samphireway::testing {

/** What a scripted upstream does with one request. @see scripted_upstream */
struct upstream_reply {
    std::vector<std::string> parts; ///< Written one after the other, a few milliseconds apart.
    bool is_closed = false;         ///< The connection ends after the last part.
    bool is_reset = false;          ///< The connection ends with a reset instead.
};

/** A request as an upstream received it. */
struct received_request {
    std::string head;
    std::string body;

    /** Returns the value of a header, or an empty text. */
    std::string header(const std::string& name) const;
};

/**
    An upstream on the loopback interface that answers by a script.

    The script gets each request and returns the reply; `{id}` in a part stands for the request's attempt id.
*/
class scripted_upstream {
public:
    using script = std::function<upstream_reply(const received_request&)>;

    scripted_upstream(boost::asio::io_context& context, std::string name, script given);
    ~scripted_upstream();
    scripted_upstream(const scripted_upstream&) = delete;
    scripted_upstream& operator=(const scripted_upstream&) = delete;

    /** Returns the entry under which the gateway knows this upstream. */
    gateway::upstream entry() const;

    /** Returns the requests received so far. */
    const std::vector<received_request>& requests() const;

    /** Returns the connections that the gateway has closed. */
    int closed_connections() const;

private:
    class implementation;
    std::unique_ptr<implementation> state;
};

/**
    A gateway's traffic side on the loopback interface, with scripted upstreams and the platform's headers.

    Runs on one thread. A call runs the loop until the response is whole or the connection ends; a generous
    limit ends a test that hangs.
*/
class loopback_gateway {
public:
    loopback_gateway();
    ~loopback_gateway();
    loopback_gateway(const loopback_gateway&) = delete;
    loopback_gateway& operator=(const loopback_gateway&) = delete;

    /** Adds an upstream of the service `desk`. */
    scripted_upstream& add_upstream(scripted_upstream::script given);

    /** Puts a configuration into force with the one route `/r/` of `shop.example` and the key `k1`. */
    void configure(gateway::route changed);

    /** Sends bytes on a new connection and returns all that comes back until the connection is idle or ends.
     */
    std::string send(const std::string& bytes);

    /** Sends bytes, then closes the connection once the first upstream has the request. */
    void send_and_leave(const std::string& bytes);

    /** Runs the loop until a condition holds; returns whether it did. */
    bool run_until(const std::function<bool()>& condition);

    gateway::drain_state& drain();
    gateway::counters& counts();

    /** Returns the tokens of the workspace's budget that were billed. */
    std::int64_t billed_tokens() const;

private:
    class implementation;
    std::unique_ptr<implementation> state;
};

} // namespace samphireway::testing
