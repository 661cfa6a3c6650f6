#include "gateway/http/internal_server.h"

#include "gateway/http/socket_options.h"
#include "gateway/tunnel/tunnel_call.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <memory>
#include <optional>

namespace samphireway::gateway {

namespace {

namespace http = boost::beast::http;
using tcp = boost::asio::ip::tcp;
using boost::system::error_code;

constexpr int accept_backlog = 128;
// Limit of the headers and of the body of a call; probes and loan calls are far smaller.
constexpr std::uint32_t maximum_message_bytes = 8192;
// Bounds what is no part of a body yet, also trailers and size lines of chunks. Larger than the largest head.
constexpr std::size_t maximum_unparsed_bytes = std::size_t{4} * maximum_message_bytes;
// The platform probes once a second; a connection without a request for this long is considered unused.
constexpr std::chrono::seconds idle_timeout{20};
// Delay before the next accept after a failed one, which mostly fails because no file descriptor is free.
constexpr std::chrono::milliseconds accept_retry_delay{20};

/** A connection from the platform or from another node. */
class internal_session : public std::enable_shared_from_this<internal_session> {
public:
    internal_session(tcp::socket connected, const internal_handler& handler_to_use,
                     const tunnel_handler& on_tunnel_to_use)
        : socket(std::move(connected)), timer(this->socket.get_executor()), handler(handler_to_use),
          on_tunnel(on_tunnel_to_use)
    {
    }

    void read()
    {
        this->parser.emplace();
        this->parser->header_limit(maximum_message_bytes);
        this->parser->body_limit(maximum_message_bytes);
        this->timer.expires_after(idle_timeout);
        this->timer.async_wait([self = this->shared_from_this()](error_code failure) {
            if (!failure) {
                self->socket.close(failure);
            }
        });
        http::async_read(this->socket, this->buffer, *this->parser,
                         [self = this->shared_from_this()](error_code failure, std::size_t) {
                             self->timer.cancel();
                             if (!failure) {
                                 self->handle();
                             }
                         });
    }

private:
    void handle()
    {
        const http::request<http::string_body>& received = this->parser->get();
        request_message request{.method = std::string(received.method_string()),
                                .target = std::string(received.target()),
                                .headers = {},
                                .body = received.body()};
        for (const auto& field : received) {
            request.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
        }
        if (this->on_tunnel && request.method == tunnel_method && this->buffer.size() == 0) {
            this->on_tunnel(request, std::move(this->socket));
            return;
        }
        this->handler(request, [self = this->shared_from_this()](internal_response result) {
            self->answer(std::move(result));
        });
    }

    void answer(internal_response result)
    {
        this->response = {};
        this->response.version(11);
        this->response.result(result.status);
        this->response.set(http::field::content_type, result.content_type);
        for (const auto& [name, value] : result.headers) {
            this->response.set(name, value);
        }
        this->response.body() = std::move(result.body);
        this->response.keep_alive(this->parser->get().keep_alive());
        this->response.prepare_payload();
        http::async_write(this->socket, this->response,
                          [self = this->shared_from_this()](error_code failure, std::size_t) {
                              if (!failure && self->response.keep_alive()) {
                                  self->read();
                              }
                          });
    }

    tcp::socket socket;
    boost::asio::steady_timer timer;
    const internal_handler& handler;
    const tunnel_handler& on_tunnel;
    boost::beast::flat_buffer buffer{maximum_unparsed_bytes};
    std::optional<http::request_parser<http::string_body>> parser;
    http::response<http::string_body> response;
};

} // namespace

internal_server::internal_server(boost::asio::io_context& context, const tcp::endpoint& address,
                                 internal_handler handler_to_use, tunnel_handler on_tunnel_to_use)
    : io(context), endpoint(address), handler(std::move(handler_to_use)),
      on_tunnel(std::move(on_tunnel_to_use)), acceptor(context)
{
}

core::result<void> internal_server::start()
{
    if (this->acceptor.is_open()) {
        return {};
    }
    core::result<void> listening = listen_on(this->acceptor, this->endpoint, accept_backlog);
    if (listening) {
        this->accept();
    }
    return listening;
}

void internal_server::accept()
{
    this->acceptor.async_accept([this](error_code failure, tcp::socket socket) {
        if (failure == boost::asio::error::operation_aborted) {
            return;
        }
        if (failure) {
            core::log_event(core::log_level::warning, "internal_accept_failed",
                            {{"reason", failure.message()}});
            auto pause = std::make_shared<boost::asio::steady_timer>(this->io, accept_retry_delay);
            pause->async_wait([this, pause](error_code) { this->accept(); });
            return;
        }
        std::make_shared<internal_session>(std::move(socket), this->handler, this->on_tunnel)->read();
        this->accept();
    });
}

} // namespace samphireway::gateway
