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

// Allows several round trips between availability zones. A lost SYN is not waited for, since it is sent again
// only after a second.
constexpr milliseconds connect_timeout{400};
// The other node connects to the upstream meanwhile.
constexpr milliseconds tunnel_timeout{400};
constexpr std::uint32_t maximum_header_bytes = 64U << 10U;
constexpr std::uint64_t maximum_body_bytes = 64ULL << 20U;
// Bounds received bytes that are no part of a body yet, such as an endless chunk size line. Larger than the
// largest head.
constexpr std::size_t maximum_unparsed_bytes = std::size_t{2} * maximum_header_bytes;
// Responses to earlier requests and interim responses are discarded. An upstream that sends more of them
// than this before its response, or more bytes, is faulty.
constexpr int maximum_discarded_responses = 16;
constexpr std::size_t maximum_discarded_bytes = 256U << 10U;
// Assumed idle time until an upstream closes a connection, if it announces none.
constexpr milliseconds default_idle_time{4000};
// A connection is not reused within this time before the upstream closes it, so that no request is sent while
// it is being closed.
constexpr milliseconds reuse_margin{700};

// Bounds the memory of a connection to an upstream that refuses everything.
constexpr std::size_t maximum_refused_attempts = 256;

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

/** Returns whether HTTP has a status and this client can handle it; it never asks to switch protocols. */
bool is_supported_status(unsigned status)
{
    constexpr unsigned first_status = 100;
    constexpr unsigned last_status = 599;
    constexpr unsigned switching_protocols = 101;
    return status >= first_status && status <= last_status && status != switching_protocols;
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
    implementation(upstream_connection& owner_to_use, asio::io_context& context, tcp::endpoint peer_to_use,
                   upstream_link link_to_use)
        : owner(owner_to_use), io(context), socket(context), timer(context), peer(std::move(peer_to_use)),
          link(std::move(link_to_use))
    {
    }

    void send(const request_message& message, upstream_hooks hooks_to_use)
    {
        this->hooks = std::move(hooks_to_use);
        this->request = make_request(message);
        this->is_head_request = this->request->method() == http::verb::head;
        this->is_busy = true;
        this->is_request_written = false;
        this->discarded_responses = 0;
        this->discarded_bytes = 0;
        ++this->request_generation;
        if (this->is_open) {
            this->is_new_connection = false;
            if (this->is_timeout_lifted) {
                this->is_timeout_lifted = false;
                set_acknowledgement_timeout(this->socket, unresponsive_peer_limits{}.unacknowledged_data);
            }
            this->write();
            return;
        }
        this->is_new_connection = true;
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
        ++this->request_generation;
        error_code ignored; // The connection is abandoned, so a failed close needs no handling.
        this->timer.cancel();
        if (this->tunnel != nullptr) {
            this->tunnel->cancel();
            this->tunnel = nullptr;
        }
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
    asio::io_context& io;
    tcp::socket socket;
    asio::steady_timer timer;
    const tcp::endpoint peer;
    const upstream_link link;
    link_outcome outcome = link_outcome::connected; ///< Of the last attempt to open the connection.
    bool is_new_connection = true;

private:
    /** Wraps a completion handler. Keeps the connection alive and drops completions of an earlier
     * request. */
    template<typename Handler> auto guard_handler(Handler handler)
    {
        return [self = this->owner.shared_from_this(), this, started = this->request_generation,
                handler = std::move(handler)](error_code failure, auto&&...) mutable {
            if (started == this->request_generation) {
                handler(failure);
            }
        };
    }

    void connect()
    {
        if (this->link.helper) {
            this->open_tunnel();
            return;
        }
        this->timer.expires_after(connect_timeout);
        this->timer.async_wait(this->guard_handler([this](error_code failure) {
            if (!failure && !this->is_open) {
                this->on_connected(link_outcome::upstream_failed);
            }
        }));
        this->socket.async_connect(this->peer, this->guard_handler([this](error_code failure) {
            this->timer.cancel();
            this->on_connected(failure ? link_outcome::upstream_failed : link_outcome::connected);
        }));
    }

    void open_tunnel()
    {
        this->tunnel = std::make_shared<tunnel_call>(this->io, *this->link.helper, this->peer);
        this->tunnel->start(std::chrono::steady_clock::now() + tunnel_timeout,
                            [self = this->owner.shared_from_this(), this,
                             started = this->request_generation](core::result<tcp::socket> opened) {
                                if (started != this->request_generation) {
                                    return;
                                }
                                this->tunnel = nullptr;
                                if (opened) {
                                    this->socket = std::move(*opened);
                                }
                                this->on_connected(link_outcome_of(opened));
                            });
    }

    void on_connected(link_outcome result)
    {
        this->outcome = result;
        if (this->link.on_connect) {
            this->link.on_connect(result);
        }
        if (result != link_outcome::connected) {
            this->end_request(upstream_result::not_connected);
            return;
        }
        this->is_open = true;
        set_socket_options(this->socket);
        this->write();
    }

    void write()
    {
        http::async_write(this->socket, *this->request, this->guard_handler([this](error_code failure) {
            // After a failed write the upstream's response may still arrive, so reading continues.
            this->is_request_written = !failure;
        }));
        this->read_head();
    }

    void read_head()
    {
        this->parser.emplace();
        this->parser->header_limit(maximum_header_bytes);
        this->parser->body_limit(maximum_body_bytes);
        this->parser->skip(this->is_head_request);
        http::async_read_header(this->socket, this->buffer, *this->parser,
                                this->guard_handler([this](error_code failure) { this->on_head(failure); }));
    }

    void on_head(error_code failure)
    {
        if (failure) {
            this->end_request(upstream_result::broken);
            return;
        }
        const response_head head = make_head(this->parser->get());
        if (!is_supported_status(head.status)) {
            this->end_request(upstream_result::broken);
            return;
        }
        const bool is_interim = head.status / 100 == 1;
        this->is_discarding_response =
            is_interim || this->hooks.on_head(head) == response_owner::earlier_request;
        if (!this->is_busy) {
            return; // A hook closed the connection.
        }
        if (!this->is_discarding_response && has_unacknowledged_data(this->socket)) {
            // An upstream that responds is not gone; it may read the rest of a long request later.
            this->is_timeout_lifted = true;
            set_acknowledgement_timeout(this->socket, milliseconds(0));
        }
        this->on_progress();
    }

    void on_progress()
    {
        const unsigned started = this->request_generation;
        std::string& body = this->parser->get().body();
        if (!body.empty()) {
            const std::string bytes = std::move(body);
            body.clear();
            if (!this->is_discarding_response) {
                this->hooks.on_body(bytes);
            }
            else if ((this->discarded_bytes += bytes.size()) > maximum_discarded_bytes) {
                this->end_request(upstream_result::broken);
            }
            if (started != this->request_generation) {
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
                              this->guard_handler([this](error_code failure) {
                                  if (failure) {
                                      this->end_request(upstream_result::broken);
                                      return;
                                  }
                                  this->on_progress();
                              }));
    }

    void on_complete()
    {
        const bool ends_with_connection = this->parser->get().need_eof();
        if (ends_with_connection && (!this->is_request_written || this->link.helper)) {
            // A failed write takes the reset of the connection with it, and reading then only meets its end.
            // The end of a tunnel may be that of the other node.
            this->end_request(upstream_result::broken);
            return;
        }
        const bool is_keep_alive = this->parser->get().keep_alive() && !ends_with_connection;
        if (this->is_discarding_response) {
            const bool is_excessive = ++this->discarded_responses > maximum_discarded_responses;
            is_keep_alive && !is_excessive ? this->read_head() : this->end_request(upstream_result::broken);
            return;
        }
        // The connection is not reused if there are bytes after the response, which belong to no request, or
        // if the request is not fully written, since the upstream would take its rest for the next request.
        if (!is_keep_alive || this->buffer.size() > 0 || !this->is_request_written) {
            this->end_request(upstream_result::complete);
            return;
        }
        const milliseconds idle = announced_idle_time(this->parser->get());
        this->reusable_until = std::chrono::steady_clock::now() + idle - std::min(idle / 2, reuse_margin);
        this->is_busy = false;
        this->is_paused = false;
        this->request.reset();
        ++this->request_generation;
        this->watch_idle();
        const upstream_hooks request_hooks = std::move(this->hooks);
        this->hooks = {};
        request_hooks.on_end(upstream_result::complete);
    }

    void watch_idle()
    {
        this->socket.async_wait(tcp::socket::wait_read,
                                this->guard_handler([this](error_code) { this->close(); }));
    }

    void end_request(upstream_result result)
    {
        const upstream_hooks request_hooks = std::move(this->hooks);
        this->close();
        if (request_hooks.on_end) {
            request_hooks.on_end(result);
        }
    }

    std::shared_ptr<tunnel_call> tunnel; ///< While the tunnel is being opened.
    boost::beast::flat_buffer buffer{maximum_unparsed_bytes};
    std::optional<http::request<http::string_body>> request;
    std::optional<parser_type> parser;
    upstream_hooks hooks;
    core::steady_time reusable_until;
    unsigned request_generation = 0; ///< Increased at a request's start and end to detect late completions.
    bool is_open = false;
    bool is_busy = false;
    bool is_request_written = false;
    bool is_discarding_response = false;
    bool is_timeout_lifted = false; ///< Whether data may stay unacknowledged until the response ends.
    bool is_paused = false;
    bool is_read_deferred = false;
    bool is_head_request = false;
    int discarded_responses = 0;
    std::size_t discarded_bytes = 0;
};

upstream_connection::upstream_connection(asio::io_context& context, tcp::endpoint upstream_endpoint,
                                         upstream_link link)
    : state(std::make_unique<implementation>(*this, context, std::move(upstream_endpoint), std::move(link)))
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
    return this->refused_attempts.size() < maximum_refused_attempts && this->state->is_reusable(now);
}

void upstream_connection::record_refusal(const std::string& attempt_id)
{
    this->refused_attempts.insert(attempt_id);
}

bool upstream_connection::has_refused(const std::string& attempt_id) const
{
    return this->refused_attempts.contains(attempt_id);
}

bool upstream_connection::is_tunnelled() const noexcept
{
    return this->state->link.helper.has_value();
}

bool upstream_connection::has_helper_failed() const noexcept
{
    return this->state->outcome == link_outcome::helper_failed;
}

bool upstream_connection::is_new() const noexcept
{
    return this->state->is_new_connection;
}

const tcp::endpoint& upstream_connection::endpoint() const noexcept
{
    return this->state->peer;
}

} // namespace samphireway::gateway
