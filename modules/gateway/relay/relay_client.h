#pragma once

#include "gateway/http/upstream_pool.h"
#include "gateway/model/member.h"
#include "gateway/relay/relay_messages.h"

#include <boost/asio/io_context.hpp>
#include <functional>

namespace samphireway::gateway {

/** The parts of a reply as received. @see parse_relay_reply */
struct raw_relay_reply {
    std::string status;
    std::string news;
};

/** Sends polls to relays over kept connections. Traffic thread only. @see relay_subscription */
class relay_client {
public:
    using reply_handler = std::function<void(core::result<raw_relay_reply>)>;

    explicit relay_client(boost::asio::io_context& context_to_use) : io(context_to_use), pool(context_to_use)
    {
    }

    /** Sends a poll and calls the handler once, by the deadline. Fails with `upstream_failed` or
     * `upstream_timeout`. */
    void send(const member& relay, const relay_poll& poll, core::steady_time deadline,
              reply_handler on_reply);

private:
    struct call;

    void end(const std::shared_ptr<call>& ended, core::result<raw_relay_reply> outcome);

    boost::asio::io_context& io;
    upstream_pool pool;
};

} // namespace samphireway::gateway
