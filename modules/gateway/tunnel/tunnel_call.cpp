#include "gateway/tunnel/tunnel_call.h"

#include "gateway/http/socket_options.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <optional>

namespace samphireway::gateway {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using boost::system::error_code;

constexpr std::uint32_t maximum_answer_bytes = 4096;

std::string authority_of(const tcp::endpoint& endpoint)
{
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

} // namespace

link_outcome link_outcome_of(const core::result<tcp::socket>& opened)
{
    if (opened) {
        return link_outcome::connected;
    }
    return opened.error().code == core::error_code::upstream_failed ? link_outcome::upstream_failed
                                                                    : link_outcome::helper_failed;
}

class tunnel_call::implementation {
public:
    explicit implementation(asio::io_context& io) : socket(io), timer(io) {}

    tcp::socket socket;
    asio::steady_timer timer;
    handler on_done;
    http::request<http::empty_body> request;
    boost::beast::flat_buffer buffer{maximum_answer_bytes};
    std::optional<http::response_parser<http::empty_body>> parser;
};

tunnel_call::tunnel_call(asio::io_context& io, member helper_to_use, tcp::endpoint upstream_to_use)
    : helper(std::move(helper_to_use)), upstream(std::move(upstream_to_use)),
      state(std::make_unique<implementation>(io))
{
}

tunnel_call::~tunnel_call() = default;

void tunnel_call::start(core::steady_time deadline, handler on_done)
{
    this->state->on_done = std::move(on_done);
    this->state->timer.expires_at(deadline);
    this->state->timer.async_wait([self = this->shared_from_this()](error_code failure) {
        if (!failure) {
            self->fail(core::error_code::upstream_timeout, "no answer in time");
        }
    });
    error_code invalid;
    const tcp::endpoint address(asio::ip::make_address(this->helper.address, invalid), this->helper.port);
    if (invalid) {
        asio::post(this->state->socket.get_executor(), [self = this->shared_from_this()] {
            self->fail(core::error_code::no_upstream, "the node has no valid address");
        });
        return;
    }
    this->state->socket.async_connect(address, [self = this->shared_from_this()](error_code failure) {
        if (failure) {
            self->fail(core::error_code::no_upstream, "not connected");
            return;
        }
        self->request();
    });
}

void tunnel_call::cancel()
{
    this->state->on_done = nullptr;
    this->state->timer.cancel();
    error_code ignored; // The call is given up either way.
    this->state->socket.close(ignored);
}

void tunnel_call::request()
{
    if (!this->state->on_done) {
        return;
    }
    set_socket_options(this->state->socket);
    http::request<http::empty_body>& message = this->state->request;
    message.version(11);
    message.method_string(tunnel_method);
    message.target(authority_of(this->upstream));
    message.set(http::field::host, authority_of(this->upstream));
    message.set(http::field::authorization, "Bearer " + this->helper.token);
    http::async_write(this->state->socket, message,
                      [self = this->shared_from_this()](error_code failure, std::size_t) {
                          if (failure) {
                              self->fail(core::error_code::no_upstream, "the connection failed");
                              return;
                          }
                          self->read_answer();
                      });
}

void tunnel_call::read_answer()
{
    this->state->parser.emplace();
    this->state->parser->skip(true);
    http::async_read_header(
        this->state->socket, this->state->buffer, *this->state->parser,
        [self = this->shared_from_this()](error_code failure, std::size_t) {
            if (failure) {
                self->fail(core::error_code::no_upstream, "the connection failed");
                return;
            }
            if (self->state->parser->get().result() != http::status::ok) {
                const bool is_upstreams = self->state->parser->get().result() == http::status::bad_gateway;
                self->fail(is_upstreams ? core::error_code::upstream_failed : core::error_code::no_upstream,
                           "status " + std::to_string(self->state->parser->get().result_int()));
                return;
            }
            self->finish(std::move(self->state->socket));
        });
}

void tunnel_call::fail(core::error_code code, const std::string& reason)
{
    this->finish(core::failure(code, reason));
}

void tunnel_call::finish(core::result<tcp::socket> outcome)
{
    const handler on_done = std::move(this->state->on_done);
    this->cancel();
    if (on_done) {
        on_done(std::move(outcome));
    }
}

} // namespace samphireway::gateway
