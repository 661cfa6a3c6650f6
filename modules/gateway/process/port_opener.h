#pragma once

#include "core/core.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <vector>

namespace samphireway::gateway {

/** Options of a port opener. @see port_opener */
struct port_opener_options {
    /** Open the ports, in this order. Each does nothing if its port is open, and fails like `listen_on`. */
    std::vector<std::function<core::result<void>()>> ports;
    std::function<void()> on_open;                      ///< Called once all ports are open.
    std::function<void(const core::error&)> on_failure; ///< Called on a failure that does not pass.
};

/**
    Opens the ports of a node that starts.

    Another program may hold a port for a moment, as the end of a connection, or all descriptors may be in
   use, so the opener tries again until all ports are open. Traffic thread only.

    @see listen_on
*/
class port_opener {
public:
    port_opener(boost::asio::io_context& context, port_opener_options options_to_use);

    /** Opens the ports, at once or later. */
    void open();

private:
    core::result<void> try_ports() const;
    void report(const core::error& cause);

    const port_opener_options options;
    boost::asio::steady_timer timer;
    core::steady_time next_report;
};

} // namespace samphireway::gateway
