#include "gateway/http/front_session.h"

#include "gateway/exchange/exchange.h"
#include "gateway/exchange/refusal.h"
#include "gateway/http/request_check.h"
#include "gateway/http/socket_options.h"

#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <optional>

namespace samphireway::gateway {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using boost::system::error_code;
using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

using parser_type = http::request_parser<http::string_body>;

// Limit of the bytes of further requests that are read while one is being served.
constexpr std::size_t maximum_read_ahead_bytes = 64U << 10U;
constexpr std::size_t read_size = 4096;
// Less than this per connection that a requester has not read yet is not accounted for.
constexpr std::size_t small_output_bytes = 16U << 10U;
// Before closing, remaining input is read for this long, since closing a socket with unread bytes resets the
// connection and the requester would lose the response.
constexpr milliseconds linger_time{1000};
// Advice to a requester whose request found no memory; larger ones that are read now are over by then.
constexpr milliseconds memory_retry_advice{1000};
// A request body is in the exchange and in the connection to the upstream while it is served.
constexpr std::size_t copies_of_served_body = 2;
// A requester that acknowledges no data for this long counts as disconnected.
constexpr milliseconds stalled_write_timeout{10000};

const requester_limits default_limits;

std::string serialize_head(const response_head& head, std::optional<std::size_t> length, bool is_keep_alive)
{
    http::response<http::empty_body> response;
    response.version(11);
    response.result(head.status);
    if (!head.reason.empty()) {
        response.reason(head.reason);
    }
    for (const auto& [name, value] : head.headers) {
        response.insert(name, value);
    }
    if (length) {
        response.content_length(*length);
    }
    else {
        response.chunked(true);
    }
    response.keep_alive(is_keep_alive);
    http::response_serializer<http::empty_body> serializer(response);
    serializer.split(true);
    std::string bytes;
    error_code failure;
    serializer.next(failure,
                    [&bytes](error_code, const auto& buffers) { bytes = beast::buffers_to_string(buffers); });
    return bytes;
}

header_list copy_headers(const parser_type::value_type& message)
{
    header_list headers;
    for (const auto& field : message) {
        headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    }
    return headers;
}

/** Returns the status for a request that could not be read, or nothing if the connection itself failed. */
std::optional<unsigned> status_for_read_error(error_code failure)
{
    // The buffer overflows by trailers or by the size line of a chunk, which the other limits do not count.
    if (failure == http::error::header_limit || failure == http::error::buffer_overflow) {
        return 431;
    }
    if (failure == http::error::body_limit) {
        return 413;
    }
    if (failure == http::error::end_of_stream || failure == http::error::partial_message ||
        failure.category() != http::make_error_code(http::error::bad_method).category()) {
        return std::nullopt;
    }
    return 400;
}

} // namespace

class front_session::implementation {
public:
    implementation(front_session& owner_to_use, gateway_context& shared, tcp::socket connected)
        : owner(owner_to_use), context(shared), socket(std::move(connected)), timer(shared.io)
    {
    }

    void start(std::function<void()> on_end)
    {
        this->on_closed = std::move(on_end);
        set_socket_options(this->socket,
                           unresponsive_peer_limits{.unacknowledged_data = stalled_write_timeout});
        this->await_request();
    }

    void close_if_idle()
    {
        if (this->phase == session_phase::idle && this->output.empty()) {
            this->close();
        }
    }

    void answer_by(core::steady_time latest)
    {
        if (this->current_exchange != nullptr) {
            this->current_exchange->answer_by(latest);
        }
    }

    void close()
    {
        if (this->phase == session_phase::closed) {
            return;
        }
        this->phase = session_phase::closed;
        this->context.requests.release(this);
        this->context.output.release(this);
        this->set_in_delivery(false);
        this->timer.cancel();
        error_code ignored; // The connection is abandoned, so a failed close needs no handling.
        this->socket.close(ignored);
        if (this->current_exchange != nullptr) {
            const std::shared_ptr<exchange> interrupted = std::move(this->current_exchange);
            interrupted->on_requester_disconnected();
        }
        this->on_closed();
    }

    bool is_in_delivery = false; ///< Whether the session counts in `counters::responses_in_delivery`.

private:
    enum class session_phase { idle, reading, serving, lingering, closed };

    /** Wraps a completion handler: keeps the session alive and drops completions after it is closed. */
    template<typename Handler> auto guard_handler(Handler handler)
    {
        return [self = this->owner.shared_from_this(), this,
                handler = std::move(handler)](error_code failure, auto&&... rest) mutable {
            if (this->phase != session_phase::closed) {
                handler(failure, std::forward<decltype(rest)>(rest)...);
            }
        };
    }

    requester_limits limits() const
    {
        const std::shared_ptr<const route_table> table = this->context.board.routes.read();
        return table == nullptr ? default_limits : table->source().limits;
    }

    void set_timer(milliseconds time, std::function<void()> on_expired)
    {
        this->timer.expires_after(time);
        this->timer.async_wait(this->guard_handler([expired = std::move(on_expired)](error_code failure) {
            if (!failure) {
                expired();
            }
        }));
    }

    void await_request()
    {
        this->phase = session_phase::idle;
        if (this->buffer.size() > 0) {
            this->read_head();
            return;
        }
        this->set_timer(this->limits().idle_timeout, [this] { this->close(); });
        this->socket.async_wait(tcp::socket::wait_read, this->guard_handler([this](error_code failure) {
            if (failure) {
                this->close();
                return;
            }
            if (this->phase == session_phase::idle) {
                this->read_head();
            }
        }));
    }

    void read_head()
    {
        this->phase = session_phase::reading;
        this->arrival = clock::now();
        const requester_limits bounds = this->limits();
        this->buffer.max_size(bounds.header_bytes + maximum_read_ahead_bytes + read_size);
        this->parser.emplace();
        this->parser->header_limit(static_cast<std::uint32_t>(bounds.header_bytes));
        this->parser->body_limit(bounds.body_bytes);
        this->set_timer(bounds.header_timeout,
                        [this] { this->reject(408, "the request headers did not arrive in time"); });
        http::async_read_header(
            this->socket, this->buffer, *this->parser,
            this->guard_handler([this](error_code failure, std::size_t) { this->on_head(failure); }));
    }

    void on_head(error_code failure)
    {
        if (failure || this->phase != session_phase::reading) {
            this->on_read_failure(failure);
            return;
        }
        const parser_type::value_type& message = this->parser->get();
        const std::string target(message.target());
        const core::result<void> checked = check_request_head(copy_headers(message), target);
        if (!checked) {
            this->reject(400, checked.error().message);
            return;
        }
        this->set_timer(this->limits().idle_timeout,
                        [this] { this->reject(408, "the request body did not arrive in time"); });
        if (!this->parser->is_done() && beast::iequals(message[http::field::expect], "100-continue")) {
            this->write("HTTP/1.1 100 Continue\r\n\r\n");
        }
        this->parser->eager(true);
        this->read_body();
    }

    void read_body()
    {
        if (this->parser->is_done()) {
            this->on_request({});
            return;
        }
        http::async_read_some(
            this->socket, this->buffer, *this->parser,
            this->guard_handler([this](error_code failure, std::size_t) { this->on_body_read(failure); }));
    }

    void on_body_read(error_code failure)
    {
        if (this->phase != session_phase::reading) {
            this->parser.reset(); // The request was rejected; the reading that it served has just ended.
            return;
        }
        if (failure) {
            this->on_read_failure(failure);
            return;
        }
        if (this->parser->is_done() || this->keep_request()) {
            this->read_body();
        }
    }

    /** Accounts for a request that is being read. Returns false if it has been refused for want of memory. */
    bool keep_request()
    {
        const auto give_up = [kept = this->owner.weak_from_this(), this] {
            if (const std::shared_ptr<front_session> self = kept.lock()) {
                this->refuse_for_memory();
            }
        };
        const std::size_t bytes = this->buffer.size() + this->parser->get().body().size();
        if (this->context.requests.keep(this, bytes, give_up)) {
            return true;
        }
        this->refuse_for_memory();
        return false;
    }

    /** Accounts for the request that is served and for what is read ahead; it is not given up for other
     * requests, since an upstream may run it. */
    void keep_served_request()
    {
        this->context.requests.keep(this, this->served_bytes + this->buffer.size(), {});
    }

    void refuse_for_memory()
    {
        const core::error cause{.code = core::error_code::overloaded,
                                .message = "the node has no memory for a request of this size",
                                .run = core::verdict::not_run};
        this->reject(make_refusal_head(cause, memory_retry_advice), make_refusal_body(cause), cause.message);
    }

    void on_read_failure(error_code failure)
    {
        if (this->phase != session_phase::reading) {
            return;
        }
        const std::optional<unsigned> status = status_for_read_error(failure);
        if (status) {
            this->reject(*status, failure.message());
            return;
        }
        this->close();
    }

    void on_request(error_code failure)
    {
        if (failure || this->phase != session_phase::reading) {
            this->on_read_failure(failure);
            return;
        }
        this->timer.cancel();
        this->phase = session_phase::serving;
        parser_type::value_type message = this->parser->release();
        this->is_keep_alive = message.keep_alive();
        request_message request{.method = std::string(message.method_string()),
                                .target = std::string(message.target()),
                                .headers = copy_headers(message),
                                .body = std::move(message.body())};
        this->is_head_request = message.method() == http::verb::head;
        this->served_bytes = copies_of_served_body * request.body.size();
        this->keep_served_request();
        this->watch_requester();
        this->current_exchange = std::make_shared<exchange>(this->context, std::move(request),
                                                            this->make_responder(), this->arrival);
        const std::shared_ptr<exchange> started = this->current_exchange;
        started->start();
    }

    responder make_responder()
    {
        const std::shared_ptr<front_session> self = this->owner.shared_from_this();
        return responder{
            .send_whole = [self, this](const response_head& head,
                                       const std::string& body) { this->send_whole(head, body); },
            .begin_stream = [self, this](const response_head& head) { this->begin_stream(head); },
            .send_part = [self, this](std::string bytes) { this->send_part(std::move(bytes)); },
            .end_stream = [self, this] { this->end_stream(); },
            .abort =
                [self, this] {
                    this->current_exchange = nullptr;
                    this->close();
                },
            .queued_bytes = [self, this] { return this->queued_bytes; },
        };
    }

    bool update_keep_alive()
    {
        this->is_keep_alive = this->is_keep_alive && !this->context.drain.is_draining();
        return this->is_keep_alive;
    }

    void send_whole(const response_head& head, const std::string& body)
    {
        if (this->phase != session_phase::serving) {
            return;
        }
        std::string bytes = serialize_head(head, body.size(), this->update_keep_alive());
        if (!this->is_head_request) {
            bytes += body;
        }
        this->write(std::move(bytes));
        this->on_response_complete();
    }

    void begin_stream(const response_head& head)
    {
        if (this->phase == session_phase::serving) {
            this->write(serialize_head(head, std::nullopt, this->update_keep_alive()));
        }
    }

    void send_part(std::string bytes)
    {
        if (this->phase == session_phase::serving && !bytes.empty()) {
            this->write(beast::buffers_to_string(http::make_chunk(asio::buffer(bytes))));
        }
    }

    void end_stream()
    {
        if (this->phase == session_phase::serving) {
            this->write(beast::buffers_to_string(http::make_chunk_last()));
            this->on_response_complete();
        }
    }

    void on_response_complete()
    {
        this->context.requests.release(this);
        this->current_exchange = nullptr;
        this->is_response_complete = true;
        this->set_in_delivery(true);
        this->continue_when_written();
    }

    void set_in_delivery(bool is_delivering)
    {
        this->context.counts.responses_in_delivery +=
            static_cast<int>(is_delivering) - static_cast<int>(this->is_in_delivery);
        this->is_in_delivery = is_delivering;
    }

    void continue_when_written()
    {
        if (!this->is_response_complete || !this->output.empty() || this->phase != session_phase::serving) {
            return;
        }
        this->is_response_complete = false;
        this->set_in_delivery(false);
        if (!this->is_keep_alive) {
            this->linger();
            return;
        }
        if (this->is_watching) {
            // The wait that is still pending detects the next request; a second wait would read concurrently.
            this->phase = session_phase::idle;
            if (this->buffer.size() > 0) {
                this->read_head();
                return;
            }
            this->set_timer(this->limits().idle_timeout, [this] { this->close(); });
            return;
        }
        this->await_request();
    }

    void watch_requester()
    {
        const bool may_read_ahead =
            this->buffer.size() == 0 ||
            (this->buffer.size() < maximum_read_ahead_bytes && !this->context.requests.is_full());
        if (this->is_watching || !may_read_ahead) {
            return;
        }
        this->is_watching = true;
        this->socket.async_wait(tcp::socket::wait_read, this->guard_handler([this](error_code failure) {
            this->is_watching = false;
            this->on_readable(failure);
        }));
    }

    void on_readable(error_code failure)
    {
        if (failure == asio::error::operation_aborted) {
            return;
        }
        if (failure) {
            this->close();
            return;
        }
        if (this->phase == session_phase::idle) {
            this->read_head();
            return;
        }
        if (this->phase != session_phase::serving) {
            return;
        }
        this->socket.non_blocking(true, failure);
        const std::size_t count = this->socket.read_some(this->buffer.prepare(read_size), failure);
        this->buffer.commit(count);
        this->keep_served_request();
        if (failure && failure != asio::error::would_block) {
            this->close();
            return;
        }
        this->watch_requester();
    }

    void reject(unsigned status, const std::string& message)
    {
        this->reject({.status = status, .reason = {}, .headers = {{"Content-Type", "text/plain"}}},
                     message + "\n", message);
    }

    void reject(const response_head& head, const std::string& body, const std::string& reason)
    {
        if (this->phase != session_phase::reading) {
            return;
        }
        core::log_event(core::log_level::info, "request_rejected",
                        {{"status", head.status}, {"reason", reason}});
        ++this->context.counts.outcomes["rejected"];
        this->is_keep_alive = false;
        error_code ignored; // Cancels a pending read; it does not matter if there is none.
        this->socket.cancel(ignored);
        this->write(serialize_head(head, body.size(), false) + body);
        this->phase = session_phase::serving;
        this->on_response_complete();
    }

    void linger()
    {
        this->phase = session_phase::lingering;
        error_code failure;
        this->socket.shutdown(tcp::socket::shutdown_send, failure);
        if (failure) {
            this->close();
            return;
        }
        this->set_timer(linger_time, [this] { this->close(); });
        this->discard_input();
    }

    void discard_input()
    {
        this->socket.async_read_some(asio::buffer(this->discarded_input),
                                     this->guard_handler([this](error_code failure, std::size_t) {
                                         if (failure) {
                                             this->close();
                                             return;
                                         }
                                         this->discard_input();
                                     }));
    }

    void write(std::string bytes)
    {
        this->queued_bytes += bytes.size();
        this->output.push_back(std::move(bytes));
        this->keep_output();
        if (this->output.size() == 1) {
            this->write_next();
        }
    }

    /** Accounts for the bytes that the requester has not read yet. The requester with most of them loses its
     * connection if there is no memory for all; not before the caller has returned, who still writes. */
    void keep_output()
    {
        if (this->queued_bytes <= small_output_bytes) {
            this->context.output.release(this);
            return;
        }
        const auto give_up = [kept = this->owner.weak_from_this(), this] {
            asio::post(this->context.io, [kept, this] {
                const std::shared_ptr<front_session> self = kept.lock();
                if (self != nullptr && this->phase != session_phase::closed) {
                    core::log_event(core::log_level::warning, "output_memory_full",
                                    {{"bytes", static_cast<long long>(this->queued_bytes)}});
                    this->close();
                }
            });
        };
        if (!this->context.output.keep(this, this->queued_bytes, give_up)) {
            give_up();
        }
    }

    void write_next()
    {
        asio::async_write(this->socket, asio::buffer(this->output.front()),
                          this->guard_handler([this](error_code failure, std::size_t) {
                              if (failure) {
                                  this->close();
                                  return;
                              }
                              this->on_written();
                          }));
    }

    void on_written()
    {
        this->queued_bytes -= this->output.front().size();
        this->output.pop_front();
        this->keep_output();
        if (!this->output.empty()) {
            this->write_next();
            return;
        }
        if (this->current_exchange != nullptr) {
            this->current_exchange->on_output_drained();
        }
        this->continue_when_written();
    }

    front_session& owner;
    gateway_context& context;
    tcp::socket socket;
    asio::steady_timer timer;
    beast::flat_buffer buffer;
    std::optional<parser_type> parser;
    std::shared_ptr<exchange> current_exchange;
    std::deque<std::string> output;
    std::size_t queued_bytes = 0;
    std::size_t served_bytes = 0; ///< Memory of the body of the request that is served.
    core::steady_time arrival;
    std::array<char, 4096> discarded_input{}; ///< Receives input that is read only to be dropped. @see linger
    std::function<void()> on_closed;
    session_phase phase = session_phase::idle;
    bool is_keep_alive = true;
    bool is_head_request = false;
    bool is_response_complete = false;
    bool is_watching = false;
};

front_session::front_session(gateway_context& shared, tcp::socket connected)
    : state(std::make_unique<implementation>(*this, shared, std::move(connected)))
{
}

front_session::~front_session() = default;

void front_session::start(std::function<void()> on_closed)
{
    this->state->start(std::move(on_closed));
}

void front_session::close_if_idle()
{
    this->state->close_if_idle();
}

void front_session::answer_by(core::steady_time latest)
{
    this->state->answer_by(latest);
}

void front_session::close()
{
    this->state->close();
}

bool front_session::is_in_delivery() const noexcept
{
    return this->state->is_in_delivery;
}

} // namespace samphireway::gateway
