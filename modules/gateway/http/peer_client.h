#pragma once

#include "gateway/http/upstream_pool.h"
#include "gateway/model/member.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

namespace samphireway::gateway {

/** Calls other nodes over kept connections. Traffic thread only. @see make_peer_call */
class peer_client {
public:
    using answer_handler = std::function<void(core::result<std::string> body)>;

    explicit peer_client(boost::asio::io_context& context_to_use) : io(context_to_use), pool(context_to_use)
    {
    }

    /** Sends a call and passes the body of its answer to the handler, once, by the deadline. Fails with
     * `upstream_failed` or `upstream_timeout`. */
    void send(const member& peer, const std::string& path, std::string body, core::steady_time deadline,
              answer_handler on_answer);

private:
    struct call;

    void end(const std::shared_ptr<call>& ended, core::result<std::string> outcome);

    boost::asio::io_context& io;
    upstream_pool pool;
};

} // namespace samphireway::gateway
