#include "gateway/http/peer_client.h"

#include "gateway/http/peer_call.h"

#include <boost/asio/steady_timer.hpp>

namespace samphireway::gateway {

namespace {

constexpr std::size_t maximum_answer_bytes = 64U << 10U;
constexpr unsigned status_ok = 200;

} // namespace

/** A call in progress. */
struct peer_client::call {
    call(boost::asio::io_context& context, answer_handler handler)
        : timer(context), on_answer(std::move(handler))
    {
    }

    std::shared_ptr<upstream_connection> connection;
    boost::asio::steady_timer timer;
    answer_handler on_answer;
    unsigned status = 0;
    std::string body;
};

void peer_client::send(const member& peer, const std::string& path, std::string body,
                       core::steady_time deadline, answer_handler on_answer)
{
    const auto started = std::make_shared<call>(this->io, std::move(on_answer));
    started->connection =
        this->pool.acquire(upstream{.id = peer.id, .service = {}, .address = peer.address, .port = peer.port},
                           std::chrono::steady_clock::now());
    started->timer.expires_at(deadline);
    started->timer.async_wait([this, started](boost::system::error_code failure) {
        if (!failure) {
            this->end(started, core::failure(core::error_code::upstream_timeout, "no answer in time"));
        }
    });
    const upstream_hooks hooks{
        .on_head =
            [started](const response_head& head) {
                started->status = head.status;
                return response_owner::this_request;
            },
        .on_body =
            [this, started](std::string_view bytes) {
                if (started->body.size() + bytes.size() > maximum_answer_bytes) {
                    // The copy outlives this hook, which is destroyed with the connection's other hooks.
                    this->end(std::shared_ptr<call>(started),
                              core::failure(core::error_code::upstream_failed, "the answer is too large"));
                    return;
                }
                started->body += bytes;
            },
        .on_end =
            [this, started, id = peer.id](upstream_result result) {
                if (result != upstream_result::complete || started->status != status_ok) {
                    this->end(started, core::failure(core::error_code::upstream_failed,
                                                     result == upstream_result::not_connected
                                                         ? "not connected"
                                                         : "status " + std::to_string(started->status)));
                    return;
                }
                this->pool.release(id, std::move(started->connection), std::chrono::steady_clock::now());
                this->end(started, std::move(started->body));
            }};
    started->connection->send(make_peer_call(peer, path, std::move(body)), hooks);
}

void peer_client::end(const std::shared_ptr<call>& ended, core::result<std::string> outcome)
{
    if (!ended->on_answer) {
        return;
    }
    ended->timer.cancel();
    if (ended->connection != nullptr) {
        ended->connection->close();
        ended->connection = nullptr;
    }
    const answer_handler handler = std::move(ended->on_answer);
    ended->on_answer = nullptr;
    handler(std::move(outcome));
}

} // namespace samphireway::gateway
