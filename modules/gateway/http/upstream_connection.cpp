#include "gateway/http/upstream_connection.h"

#include "gateway/http/socket_options.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <optional>

namespace samphireway::gateway {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using boost::system::error_code;
using std::chrono::milliseconds;

// Several round trips between availability zones; a lost opening packet is sent again only after a second.
constexpr milliseconds connect_timeout{400};
constexpr std::uint32_t header_limit = 64U << 10U;
constexpr std::uint64_t body_limit = 64ULL << 20U;
// Idle time after which a connection is not reused where the upstream announces none.
constexpr milliseconds default_idle_time{4000};
// Kept between the last reuse and the upstream's own close, so that a request does not cross it.
constexpr milliseconds idle_margin{700};

using parser_type = http::response_parser<http::string_body>;

http::request<http::string_body> make_request(const request_message& message)
{
    http::request<http::string_body> request;
    request.version(11);
    request.method_string(message.method);
    request.target(message.target);
    for (const auto& [name, value] : message.headers) {
        request.insert(name, value);
    }
    request.body() = message.body;
    request.prepare_payload();
    return request;
}

response_head make_head(const parser_type::value_type& response)
{
    response_head head{.status = response.result_int(), .reason = std::string(response.reason())};
    for (const auto& field : response) {
        head.headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    }
    return head;
}

/** Returns how long an upstream keeps an idle connection, from `Keep-Alive: timeout=SECONDS`. */
milliseconds announced_idle_time(const parser_type::value_type& response)
{
    const boost::beast::string_view field = response[http::field::keep_alive];
    constexpr std::string_view key = "timeout=";
    const std::string_view text(field.data(), field.size());
    const std::size_t position = text.find(key);
    int seconds = 0;
    if (position == std::string_view::npos) {
        return default_idle_time;
    }
    const char* const first = text.data() + position + key.size();
    const auto [end, failure] = std::from_chars(first, text.data() + text.size(), seconds);
    return failure == std::errc{} ? milliseconds(std::chrono::seconds(seconds)) : default_idle_time;
}

} // namespace

class upstream_connection::implementation {
public:
    implementation(upstream_connection& given_owner, asio::io_context& context, tcp::endpoint given_peer)
        : owner(given_owner), socket(context), timer(context), peer(std::move(given_peer))
    {
    }

    void send(const request_message& message, upstream_hooks given)
    {
        this->hooks = std::move(given);
        this->request = make_request(message);
        this->is_head_request = this->request->method() == http::verb::head;
        this->is_busy = true;
        this->is_written = false;
        ++this->round;
        if (this->is_open) {
            this->is_fresh = false;
            this->write();
            return;
        }
        this->is_fresh = true;
        this->connect();
    }

    void pause()
    {
        this->is_paused = true;
    }

    void resume()
    {
        this->is_paused = false;
        if (this->is_read_deferred) {
            this->is_read_deferred = false;
            this->read_body();
        }
    }

    void close()
    {
        this->hooks = {};
        this->is_busy = false;
        this->is_open = false;
        ++this->round;
        error_code ignored; // The connection is given up; a failed close leaves nothing to do.
        this->timer.cancel();
        this->socket.close(ignored);
    }

    bool is_reusable(core::steady_time now)
    {
        if (!this->is_open || this->is_busy || now >= this->reusable_until) {
            return false;
        }
        error_code failure;
        this->socket.non_blocking(true, failure);
        char byte = 0;
        this->socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, failure);
        return failure == asio::error::would_block;
    }

    upstream_connection& owner;
    tcp::socket socket;
    asio::steady_timer timer;
    const tcp::endpoint peer;
    bool is_fresh = true;

private:
    /** Wraps a completion handler: keeps the connection alive and drops completions of an earlier round. */
    template<typename Handler> auto guarded(Handler handler)
    {
        return [self = this->owner.shared_from_this(), this, started = this->round,
                handler = std::move(handler)](error_code failure, auto&&...) mutable {
            if (started == this->round) {
                handler(failure);
            }
        };
    }

    void connect()
    {
        this->timer.expires_after(connect_timeout);
        this->timer.async_wait(this->guarded([this](error_code failure) {
            if (!failure && !this->is_open) {
                this->end(upstream_result::not_connected);
            }
        }));
        this->socket.async_connect(this->peer, this->guarded([this](error_code failure) {
            this->timer.cancel();
            if (failure) {
                this->end(upstream_result::not_connected);
                return;
            }
            this->is_open = true;
            set_socket_options(this->socket);
            this->write();
        }));
    }

    void write()
    {
        http::async_write(this->socket, *this->request, this->guarded([this](error_code failure) {
            // After a failed write the upstream's response may still be on its way, so reading goes on.
            this->is_written = !failure;
        }));
        this->read_head();
    }

    void read_head()
    {
        this->parser.emplace();
        this->parser->header_limit(header_limit);
        this->parser->body_limit(body_limit);
        this->parser->skip(this->is_head_request);
        http::async_read_header(this->socket, this->buffer, *this->parser,
                                this->guarded([this](error_code failure) { this->on_head(failure); }));
    }

    void on_head(error_code failure)
    {
        if (failure) {
            this->end(upstream_result::broken);
            return;
        }
        const response_head head = make_head(this->parser->get());
        const bool is_interim = head.status / 100 == 1;
        this->is_discarding = is_interim || this->hooks.on_head(head) == response_owner::earlier_request;
        if (!this->is_busy) {
            return; // A hook closed the connection.
        }
        this->on_progress();
    }

    void on_progress()
    {
        const unsigned started = this->round;
        std::string& body = this->parser->get().body();
        if (!body.empty()) {
            const std::string bytes = std::move(body);
            body.clear();
            if (!this->is_discarding) {
                this->hooks.on_body(bytes);
            }
            if (started != this->round) {
                return; // A hook closed the connection.
            }
        }
        if (this->parser->is_done()) {
            this->on_complete();
            return;
        }
        if (this->is_paused) {
            this->is_read_deferred = true;
            return;
        }
        this->read_body();
    }

    void read_body()
    {
        http::async_read_some(this->socket, this->buffer, *this->parser,
                              this->guarded([this](error_code failure) {
                                  if (failure) {
                                      this->end(upstream_result::broken);
                                      return;
                                  }
                                  this->on_progress();
                              }));
    }

    void on_complete()
    {
        const bool is_kept = this->parser->get().keep_alive() && !this->parser->get().need_eof();
        if (this->is_discarding) {
            is_kept ? this->read_head() : this->end(upstream_result::broken);
            return;
        }
        // Bytes after a complete response belong to no request; an unread rest of the request would be taken
        // for the next one.
        if (!is_kept || this->buffer.size() > 0 || !this->is_written) {
            this->end(upstream_result::complete);
            return;
        }
        const milliseconds idle = announced_idle_time(this->parser->get());
        this->reusable_until = std::chrono::steady_clock::now() + idle - std::min(idle / 2, idle_margin);
        this->is_busy = false;
        this->is_paused = false;
        this->request.reset();
        ++this->round;
        this->watch_idle();
        const upstream_hooks ended = std::move(this->hooks);
        this->hooks = {};
        ended.on_end(upstream_result::complete);
    }

    void watch_idle()
    {
        this->socket.async_wait(tcp::socket::wait_read, this->guarded([this](error_code) { this->close(); }));
    }

    void end(upstream_result result)
    {
        const upstream_hooks ended = std::move(this->hooks);
        this->close();
        if (ended.on_end) {
            ended.on_end(result);
        }
    }

    boost::beast::flat_buffer buffer;
    std::optional<http::request<http::string_body>> request;
    std::optional<parser_type> parser;
    upstream_hooks hooks;
    core::steady_time reusable_until;
    unsigned round = 0; ///< Rises when a request starts or ends, so that late completions are recognised.
    bool is_open = false;
    bool is_busy = false;
    bool is_written = false;
    bool is_discarding = false;
    bool is_paused = false;
    bool is_read_deferred = false;
    bool is_head_request = false;
};

upstream_connection::upstream_connection(asio::io_context& context, tcp::endpoint upstream_endpoint)
    : state(std::make_unique<implementation>(*this, context, std::move(upstream_endpoint)))
{
}

upstream_connection::~upstream_connection() = default;

void upstream_connection::send(const request_message& request, upstream_hooks hooks)
{
    this->state->send(request, std::move(hooks));
}

void upstream_connection::pause_reading()
{
    this->state->pause();
}

void upstream_connection::resume_reading()
{
    this->state->resume();
}

void upstream_connection::close()
{
    this->state->close();
}

bool upstream_connection::is_reusable(core::steady_time now)
{
    return this->state->is_reusable(now);
}

bool upstream_connection::is_new() const noexcept
{
    return this->state->is_fresh;
}

const tcp::endpoint& upstream_connection::endpoint() const noexcept
{
    return this->state->peer;
}

} // namespace samphireway::gateway
