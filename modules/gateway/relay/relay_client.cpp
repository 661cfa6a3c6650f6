#include "gateway/relay/relay_client.h"

#include "gateway/http/peer_call.h"

#include <boost/asio/steady_timer.hpp>

namespace samphireway::gateway {

namespace {

using clock = std::chrono::steady_clock;

// A compressed configuration of tens of thousands of routes fits.
constexpr std::size_t maximum_reply_bytes = 8U << 20U;
constexpr unsigned status_ok = 200;

} // namespace

/** A poll in progress. */
struct relay_client::call {
    call(boost::asio::io_context& context, reply_handler handler)
        : timer(context), on_reply(std::move(handler))
    {
    }

    std::shared_ptr<upstream_connection> connection;
    boost::asio::steady_timer timer;
    reply_handler on_reply;
    unsigned status = 0;
    raw_relay_reply reply;
};

void relay_client::send(const member& relay, const relay_poll& poll, core::steady_time deadline,
                        reply_handler on_reply)
{
    const auto started = std::make_shared<call>(this->io, std::move(on_reply));
    started->connection = this->pool.acquire(
        upstream{.id = relay.id, .service = {}, .address = relay.address, .port = relay.port}, clock::now());
    started->timer.expires_at(deadline);
    started->timer.async_wait([this, started](boost::system::error_code failure) {
        if (!failure) {
            this->end(started, core::failure(core::error_code::upstream_timeout, "no answer in time"));
        }
    });
    const upstream_hooks hooks{
        .on_head =
            [started](const response_head& head) {
                const std::string* const status = find_header(head.headers, relay_status_header);
                started->status = head.status;
                started->reply.status = status == nullptr ? std::string() : *status;
                return response_owner::this_request;
            },
        .on_body =
            [this, started](std::string_view bytes) {
                if (started->reply.news.size() + bytes.size() > maximum_reply_bytes) {
                    // The copy outlives this hook, which is destroyed with the connection's other hooks.
                    this->end(std::shared_ptr<call>(started),
                              core::failure(core::error_code::upstream_failed, "reply too large"));
                    return;
                }
                started->reply.news += bytes;
            },
        .on_end =
            [this, started, id = relay.id](upstream_result result) {
                if (result != upstream_result::complete || started->status != status_ok) {
                    this->end(started, core::failure(core::error_code::upstream_failed,
                                                     result == upstream_result::not_connected
                                                         ? "not connected"
                                                         : "status " + std::to_string(started->status)));
                    return;
                }
                this->pool.release(id, std::move(started->connection), clock::now());
                this->end(started, std::move(started->reply));
            }};
    started->connection->send(make_peer_call(relay, relay_path, make_relay_poll(poll)), hooks);
}

void relay_client::end(const std::shared_ptr<call>& ended, core::result<raw_relay_reply> outcome)
{
    if (!ended->on_reply) {
        return;
    }
    ended->timer.cancel();
    if (ended->connection != nullptr) {
        ended->connection->close();
        ended->connection = nullptr;
    }
    const reply_handler handler = std::move(ended->on_reply);
    ended->on_reply = nullptr;
    handler(std::move(outcome));
}

} // namespace samphireway::gateway
