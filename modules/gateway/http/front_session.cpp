#include "gateway/http/front_session.h"

#include "gateway/exchange/exchange.h"
#include "gateway/http/request_check.h"
#include "gateway/http/socket_options.h"

#include <array>
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

// Bytes of a next request that are read ahead while one is being served.
constexpr std::size_t maximum_read_ahead = 64U << 10U;
// After a refusal the rest of the request is read for this long, since closing with unread bytes resets the
// connection and the requester would lose the response.
constexpr milliseconds linger_time{1000};
// A requester that takes no bytes for this long has gone without closing.
constexpr milliseconds stalled_write_timeout{10000};

const requester_limits default_limits;

std::string serialize_head(const response_head& head, std::optional<std::size_t> length, bool is_kept)
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
    response.keep_alive(is_kept);
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

/** Returns the status for a request that could not be read, or nothing where the connection just ended. */
std::optional<unsigned> status_of(error_code failure)
{
    if (failure == http::error::header_limit) {
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
    implementation(front_session& given_owner, gateway_context& shared, tcp::socket connected)
        : owner(given_owner), context(shared), socket(std::move(connected)), timer(shared.io)
    {
    }

    void start(std::function<void()> on_end)
    {
        this->on_closed = std::move(on_end);
        set_socket_options(this->socket, silence_limits{.unacknowledged = stalled_write_timeout});
        this->await_request();
    }

    void close_if_idle()
    {
        if (this->phase == session_phase::idle && this->output.empty()) {
            this->close();
        }
    }

    void close()
    {
        if (this->phase == session_phase::closed) {
            return;
        }
        this->phase = session_phase::closed;
        this->timer.cancel();
        error_code ignored; // The connection is given up; a failed close leaves nothing to do.
        this->socket.close(ignored);
        if (this->running != nullptr) {
            const std::shared_ptr<exchange> left = std::move(this->running);
            left->requester_left();
        }
        this->on_closed();
    }

private:
    enum class session_phase { idle, reading, serving, lingering, closed };

    template<typename Handler> auto kept_alive(Handler handler)
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
        this->timer.async_wait(this->kept_alive([expired = std::move(on_expired)](error_code failure) {
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
        this->socket.async_wait(tcp::socket::wait_read, this->kept_alive([this](error_code failure) {
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
        this->parser.emplace();
        this->parser->header_limit(static_cast<std::uint32_t>(bounds.header_bytes));
        this->parser->body_limit(bounds.body_bytes);
        this->set_timer(bounds.header_timeout, [this] { this->reject(408, "the request took too long"); });
        http::async_read_header(
            this->socket, this->buffer, *this->parser,
            this->kept_alive([this](error_code failure, std::size_t) { this->on_head(failure); }));
    }

    void on_head(error_code failure)
    {
        if (failure || this->phase != session_phase::reading) {
            this->read_failed(failure);
            return;
        }
        const parser_type::value_type& message = this->parser->get();
        const std::string target(message.target());
        const core::result<void> checked = check_request_head(copy_headers(message), target);
        if (!checked) {
            this->reject(400, checked.error().message);
            return;
        }
        this->set_timer(this->limits().idle_timeout, [this] { this->reject(408, "the body took too long"); });
        if (!this->parser->is_done() && beast::iequals(message[http::field::expect], "100-continue")) {
            this->write("HTTP/1.1 100 Continue\r\n\r\n");
        }
        http::async_read(
            this->socket, this->buffer, *this->parser,
            this->kept_alive([this](error_code ended, std::size_t) { this->on_request(ended); }));
    }

    void read_failed(error_code failure)
    {
        if (this->phase != session_phase::reading) {
            return;
        }
        const std::optional<unsigned> status = status_of(failure);
        if (status) {
            this->reject(*status, failure.message());
            return;
        }
        this->close();
    }

    void on_request(error_code failure)
    {
        if (failure || this->phase != session_phase::reading) {
            this->read_failed(failure);
            return;
        }
        this->timer.cancel();
        this->phase = session_phase::serving;
        parser_type::value_type message = this->parser->release();
        this->is_kept = message.keep_alive();
        request_message request{.method = std::string(message.method_string()),
                                .target = std::string(message.target()),
                                .headers = copy_headers(message),
                                .body = std::move(message.body())};
        this->is_head_request = message.method() == http::verb::head;
        this->watch_requester();
        this->running = std::make_shared<exchange>(this->context, std::move(request), this->make_responder(),
                                                   this->arrival);
        const std::shared_ptr<exchange> started = this->running;
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
                    this->running = nullptr;
                    this->close();
                },
            .queued_bytes = [self, this] { return this->queued; },
        };
    }

    bool may_keep()
    {
        this->is_kept = this->is_kept && !this->context.drain.is_draining();
        return this->is_kept;
    }

    void send_whole(const response_head& head, const std::string& body)
    {
        if (this->phase != session_phase::serving) {
            return;
        }
        std::string bytes = serialize_head(head, body.size(), this->may_keep());
        if (!this->is_head_request) {
            bytes += body;
        }
        this->write(std::move(bytes));
        this->response_done();
    }

    void begin_stream(const response_head& head)
    {
        if (this->phase == session_phase::serving) {
            this->write(serialize_head(head, std::nullopt, this->may_keep()));
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
            this->response_done();
        }
    }

    void response_done()
    {
        this->running = nullptr;
        this->is_response_done = true;
        this->go_on_when_written();
    }

    void go_on_when_written()
    {
        if (!this->is_response_done || !this->output.empty() || this->phase != session_phase::serving) {
            return;
        }
        this->is_response_done = false;
        if (!this->is_kept) {
            this->linger();
            return;
        }
        if (this->is_watching) {
            // The pending wait notices the next request; a second one would read beside it.
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
        if (this->is_watching || this->buffer.size() >= maximum_read_ahead) {
            return;
        }
        this->is_watching = true;
        this->socket.async_wait(tcp::socket::wait_read, this->kept_alive([this](error_code failure) {
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
        constexpr std::size_t read_size = 4096;
        const std::size_t count = this->socket.read_some(this->buffer.prepare(read_size), failure);
        this->buffer.commit(count);
        if (failure && failure != asio::error::would_block) {
            this->close();
            return;
        }
        this->watch_requester();
    }

    void reject(unsigned status, const std::string& message)
    {
        if (this->phase != session_phase::reading) {
            return;
        }
        core::log_event(core::log_level::info, "request_rejected", {{"status", status}, {"reason", message}});
        ++this->context.counts.outcomes["rejected"];
        this->is_kept = false;
        error_code ignored; // Nothing may be pending; what matters is that no read goes on.
        this->socket.cancel(ignored);
        std::string body = message + "\n";
        const response_head head{.status = status, .reason = {}, .headers = {{"Content-Type", "text/plain"}}};
        this->write(serialize_head(head, body.size(), false) + body);
        this->phase = session_phase::serving;
        this->response_done();
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
        this->discard();
    }

    void discard()
    {
        this->socket.async_read_some(asio::buffer(this->discarded),
                                     this->kept_alive([this](error_code failure, std::size_t) {
                                         if (failure) {
                                             this->close();
                                             return;
                                         }
                                         this->discard();
                                     }));
    }

    void write(std::string bytes)
    {
        this->queued += bytes.size();
        this->output.push_back(std::move(bytes));
        if (this->output.size() == 1) {
            this->write_next();
        }
    }

    void write_next()
    {
        asio::async_write(this->socket, asio::buffer(this->output.front()),
                          this->kept_alive([this](error_code failure, std::size_t) {
                              if (failure) {
                                  this->close();
                                  return;
                              }
                              this->on_written();
                          }));
    }

    void on_written()
    {
        this->queued -= this->output.front().size();
        this->output.pop_front();
        if (!this->output.empty()) {
            this->write_next();
            return;
        }
        if (this->running != nullptr) {
            this->running->output_drained();
        }
        this->go_on_when_written();
    }

    front_session& owner;
    gateway_context& context;
    tcp::socket socket;
    asio::steady_timer timer;
    beast::flat_buffer buffer;
    std::optional<parser_type> parser;
    std::shared_ptr<exchange> running;
    std::deque<std::string> output;
    std::size_t queued = 0;
    core::steady_time arrival;
    std::array<char, 4096> discarded{}; ///< Receives what comes after a refused request.
    std::function<void()> on_closed;
    session_phase phase = session_phase::idle;
    bool is_kept = true;
    bool is_head_request = false;
    bool is_response_done = false;
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

void front_session::close()
{
    this->state->close();
}

} // namespace samphireway::gateway
