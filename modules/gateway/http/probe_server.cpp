#include "gateway/http/probe_server.h"

#include "gateway/http/socket_options.h"

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

constexpr int accept_backlog = 64;
constexpr std::uint32_t header_limit = 8192;
// The platform probes once a second; a connection without a probe for longer has been left.
constexpr std::chrono::seconds idle_timeout{20};
constexpr unsigned status_ready = 200;
constexpr unsigned status_not_ready = 503;

/** One connection of a prober. */
class probe_session : public std::enable_shared_from_this<probe_session> {
public:
    probe_session(tcp::socket connected, const probe_hooks& given)
        : socket(std::move(connected)), timer(this->socket.get_executor()), hooks(given)
    {
    }

    void read()
    {
        this->parser.emplace();
        this->parser->header_limit(header_limit);
        this->parser->body_limit(header_limit);
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
                                 self->answer();
                             }
                         });
    }

private:
    void answer()
    {
        const http::request<http::string_body>& request = this->parser->get();
        this->response = {};
        this->response.version(11);
        const bool is_metrics = request.target() == "/metrics";
        this->response.result(is_metrics || this->hooks.is_ready() ? status_ready : status_not_ready);
        if (is_metrics) {
            this->response.set(http::field::content_type, "text/plain; version=0.0.4");
            this->response.body() = this->hooks.metrics();
        }
        this->response.keep_alive(request.keep_alive());
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
    const probe_hooks& hooks;
    boost::beast::flat_buffer buffer;
    std::optional<http::request_parser<http::string_body>> parser;
    http::response<http::string_body> response;
};

} // namespace

probe_server::probe_server(boost::asio::io_context& context, const tcp::endpoint& address, probe_hooks given)
    : io(context), endpoint(address), hooks(std::move(given)), acceptor(context)
{
}

core::result<void> probe_server::start()
{
    core::result<void> listening = listen_on(this->acceptor, this->endpoint, accept_backlog);
    if (!listening) {
        return listening;
    }
    this->accept();
    return {};
}

void probe_server::accept()
{
    this->acceptor.async_accept([this](error_code failure, tcp::socket socket) {
        if (failure == boost::asio::error::operation_aborted) {
            return;
        }
        if (failure) {
            core::log_event(core::log_level::warning, "probe_accept_failed", {{"reason", failure.message()}});
            auto pause = std::make_shared<boost::asio::steady_timer>(this->io, std::chrono::milliseconds(20));
            pause->async_wait([this, pause](error_code) { this->accept(); });
            return;
        }
        std::make_shared<probe_session>(std::move(socket), this->hooks)->read();
        this->accept();
    });
}

} // namespace samphireway::gateway
