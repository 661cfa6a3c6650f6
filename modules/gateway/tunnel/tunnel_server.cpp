#include "gateway/tunnel/tunnel_server.h"

#include "gateway/http/socket_options.h"
#include "settings/settings.h"

#include <algorithm>
#include <array>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <optional>
#include <string>

namespace samphireway::gateway {

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using boost::system::error_code;

// Shorter than the time for which the other node waits, so that it learns the outcome.
constexpr std::chrono::milliseconds connect_timeout{250};
// The longest pause within a response that is not taken for its end.
constexpr std::chrono::milliseconds response_pause{500};
constexpr std::size_t buffer_bytes = 16U << 10U;
// A peer may close its window for long: a requester reads slowly, or an upstream reads a request late. The
// node at the other end of the tunnel decides how long that may take and closes the tunnel.
constexpr unresponsive_peer_limits patient{.unacknowledged_data = std::chrono::milliseconds(0)};

std::optional<tcp::endpoint> parse_target(const std::string& target)
{
    const std::optional<settings::endpoint_text> text = settings::parse_endpoint(target);
    if (!text) {
        return std::nullopt;
    }
    error_code invalid;
    const asio::ip::address address = asio::ip::make_address(text->address, invalid);
    return invalid ? std::nullopt : std::optional(tcp::endpoint(address, text->port));
}

} // namespace

/** A pair of connections whose bytes are passed on. */
class tunnel_server::tunnel : public std::enable_shared_from_this<tunnel> {
public:
    tunnel(asio::io_context& io, tcp::socket connection,
           std::shared_ptr<std::set<const tunnel*>> tunnels_to_use)
        : node(std::move(connection)), upstream(io), timer(io), tunnels(std::move(tunnels_to_use))
    {
        this->tunnels->insert(this);
    }

    ~tunnel()
    {
        this->tunnels->erase(this);
    }
    tunnel(const tunnel&) = delete;
    tunnel& operator=(const tunnel&) = delete;

    void connect(const tcp::endpoint& target, const std::function<void(bool)>& on_connect)
    {
        this->timer.expires_after(connect_timeout);
        this->timer.async_wait([self = this->shared_from_this()](error_code failure) {
            if (!failure) {
                error_code ignored; // The attempt to connect then fails.
                self->upstream.close(ignored);
            }
        });
        this->upstream.async_connect(
            target, [self = this->shared_from_this(), on_connect](error_code failure) {
                self->timer.cancel();
                on_connect(!failure);
                if (failure) {
                    self->answer("HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
                                 false);
                    return;
                }
                set_socket_options(self->upstream, patient);
                set_socket_options(self->node, patient);
                self->answer("HTTP/1.1 200 OK\r\n\r\n", true);
            });
    }

    void answer(std::string text, bool is_open)
    {
        this->head = std::move(text);
        asio::async_write(this->node, asio::buffer(this->head),
                          [self = this->shared_from_this(), is_open](error_code failure, std::size_t) {
                              if (failure || !is_open) {
                                  self->close(!failure);
                                  return;
                              }
                              self->pass_on(self->node, self->upstream, self->to_upstream, false);
                              self->pass_on(self->upstream, self->node, self->to_node, true);
                          });
    }

    bool is_responding(core::steady_time now) const
    {
        return this->is_response_due || now < this->responded_at + response_pause;
    }

private:
    using buffer = std::array<char, buffer_bytes>;

    void pass_on(tcp::socket& from, tcp::socket& to, buffer& bytes, bool is_response)
    {
        from.async_read_some(asio::buffer(bytes), [self = this->shared_from_this(), &from, &to, &bytes,
                                                   is_response](error_code failure, std::size_t count) {
            if (failure) {
                self->close(is_response && failure == asio::error::eof);
                return;
            }
            self->is_response_due = !is_response;
            if (is_response) {
                self->responded_at = std::chrono::steady_clock::now();
            }
            asio::async_write(to, asio::buffer(bytes, count),
                              [self, &from, &to, &bytes, is_response](error_code failed, std::size_t) {
                                  if (failed) {
                                      self->close(false);
                                      return;
                                  }
                                  self->pass_on(from, to, bytes, is_response);
                              });
        });
    }

    /** Ends the tunnel. Only the end of the upstream's own connection is passed on as an orderly end. */
    void close(bool is_orderly)
    {
        error_code ignored; // Both connections are over.
        if (!is_orderly && this->node.is_open()) {
            this->node.set_option(asio::socket_base::linger(true, 0), ignored);
        }
        this->timer.cancel();
        this->node.close(ignored);
        this->upstream.close(ignored);
    }

    tcp::socket node;
    tcp::socket upstream;
    asio::steady_timer timer;
    const std::shared_ptr<std::set<const tunnel*>> tunnels;
    bool is_response_due = false; ///< Whether bytes were passed on to the upstream since its last ones.
    core::steady_time responded_at;
    std::string head;
    buffer to_upstream{};
    buffer to_node{};
};

tunnel_server::tunnel_server(asio::io_context& context, tunnel_server_options options_to_use)
    : io(context), options(std::move(options_to_use))
{
}

void tunnel_server::open(const request_message& request, tcp::socket connection)
{
    const std::optional<tcp::endpoint> target = parse_target(request.target);
    const auto refuse = [this, &connection](const char* status) {
        std::make_shared<tunnel>(this->io, std::move(connection), std::make_shared<std::set<const tunnel*>>())
            ->answer(std::string("HTTP/1.1 ") + status + "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
                     false);
    };
    if (!this->options.is_authorized(request)) {
        refuse("401 Unauthorized");
        return;
    }
    if (!target || !this->options.is_upstream(*target)) {
        refuse("403 Forbidden");
        return;
    }
    if (!this->options.can_help() || this->tunnels->size() >= this->options.maximum_tunnels) {
        refuse("503 Service Unavailable");
        return;
    }
    std::make_shared<tunnel>(this->io, std::move(connection), this->tunnels)
        ->connect(*target, [this, target = *target](bool is_connected) {
            this->options.on_connect(target, is_connected);
        });
}

std::size_t tunnel_server::count() const noexcept
{
    return this->tunnels->size();
}

bool tunnel_server::is_responding(core::steady_time now) const
{
    return std::any_of(this->tunnels->begin(), this->tunnels->end(),
                       [now](const tunnel* each) { return each->is_responding(now); });
}

} // namespace samphireway::gateway
