#include "bench/client/load_client.h"

#include "traffic/stream/event_decoder.h"

#include <array>
#include <sys/socket.h>
#include <thread>

namespace samphireway::bench {

namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;

constexpr int slow_receive_buffer_bytes = 4096;
constexpr std::array<std::string_view, request_ends> end_names{"whole",         "wrong",   "truncated",
                                                               "failed_midway", "refused", "no_answer"};

void shrink_receive_buffer(socket_t socket)
{
    // With a large receive buffer the kernel would accept the answer and the router wouldn't notice a slow
    // reader.
    const int bytes = slow_receive_buffer_bytes;
    setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
}

microseconds elapsed_since(core::steady_time start)
{
    return duration_cast<microseconds>(std::chrono::steady_clock::now() - start);
}

std::int64_t used_tokens(const Json::Value& json)
{
    const Json::Value& usage = json["usage"];
    return usage.isObject() ? core::integer_member(usage, "prompt_tokens") +
                                  core::integer_member(usage, "completion_tokens")
                            : 0;
}

} // namespace

std::string_view to_string(request_end end)
{
    return end_names.at(static_cast<std::size_t>(end));
}

/** State of one answer while it is received. */
struct load_client::receive_state {
    core::steady_time started;
    core::steady_time last_piece;
    core::steady_time deadline;
    microseconds first_token{0};
    microseconds longest_gap{0};
    traffic::event_decoder decoder;
    int status = 0;
    bool is_stream = false;
    bool is_slow = false;
    bool has_done_event = false;
    bool has_error = false;
    std::string text;
    std::string body;
    std::int64_t used = 0;
};

load_client::load_client(const load_options& options_to_use, client_target target_to_use)
    : options(options_to_use), target(std::move(target_to_use))
{
}

void load_client::open(bool is_slow)
{
    this->connection =
        std::make_unique<httplib::Client>(this->target.endpoint.address, this->target.endpoint.port);
    this->connection->set_keep_alive(true);
    this->connection->set_tcp_nodelay(true);
    this->connection->set_read_timeout(this->options.request_timeout);
    this->connection->set_write_timeout(this->options.request_timeout);
    if (is_slow) {
        this->connection->set_socket_options(shrink_receive_buffer);
    }
    this->is_connection_slow = is_slow;
}

httplib::Request load_client::make_message(const planned_request& planned, const std::string& body,
                                           const std::string& plan) const
{
    httplib::Request message;
    message.method = "POST";
    message.body = body;
    message.path = "/v1/chat/completions";
    message.set_header("Content-Type", "application/json");
    const std::string id = std::to_string(this->options.seed) + "-" + std::to_string(planned.number);
    if (planned.kind == request_kind::service_call) {
        message.path = "/services/" + this->options.service + "/place";
        message.set_header("Idempotency-Key", id);
    }
    if (this->target.is_router) {
        message.set_header("Authorization", "Bearer " + plan + "." + this->options.caller_secret);
        message.set_header("X-Request-Id", id);
    }
    return message;
}

bool load_client::receive(receive_state& state, const char* data, std::size_t size) const
{
    if (std::chrono::steady_clock::now() > state.deadline) {
        return false;
    }
    if (!state.is_stream) {
        state.body.append(data, size);
        return true;
    }
    const bool is_readable =
        state.decoder.feed(std::string_view(data, size), [&state](const std::string& event) {
            if (event == "[DONE]") {
                state.has_done_event = true;
                return true;
            }
            const core::result<Json::Value> json = core::parse_json(event);
            if (!json || !json->isObject()) {
                return false;
            }
            state.has_error = state.has_error || json->isMember("error");
            state.used = std::max(state.used, used_tokens(*json));
            const Json::Value& choices = (*json)["choices"];
            if (!choices.isArray() || choices.empty()) {
                return true;
            }
            const std::string piece = core::string_member(choices[0]["delta"], "content");
            if (piece.empty()) {
                return true;
            }
            const core::steady_time now = std::chrono::steady_clock::now();
            if (state.text.empty()) {
                state.first_token = duration_cast<microseconds>(now - state.started);
            }
            else {
                state.longest_gap =
                    std::max(state.longest_gap, duration_cast<microseconds>(now - state.last_piece));
            }
            state.last_piece = now;
            state.text += piece;
            return true;
        });
    if (state.is_slow) {
        constexpr std::size_t microseconds_per_second = 1000000;
        std::this_thread::sleep_for(
            microseconds(size * microseconds_per_second / this->options.slow_bytes_per_second));
    }
    return is_readable;
}

void load_client::fill_result(const receive_state& state, const httplib::Result& answer,
                              const prepared_request& prepared, request_result& result) const
{
    constexpr int status_ok = 200;
    result.first_token = state.first_token;
    result.longest_gap = state.longest_gap;
    result.used_tokens = state.used;
    if (state.status != 0 && state.status != status_ok) {
        result.end = request_end::refused;
        const core::result<Json::Value> json = core::parse_json(state.body);
        if (json && json->isObject() && (*json)["error"].isObject()) {
            result.code = core::string_member((*json)["error"], "code");
            result.verdict = core::string_member((*json)["error"], "verdict");
        }
        return;
    }
    if (state.is_stream) {
        const bool is_prefix = prepared.expected_text.starts_with(state.text);
        if (state.has_error) {
            result.end = is_prefix ? request_end::failed_midway : request_end::wrong;
        }
        else if (!state.has_done_event || !answer) {
            result.end = is_prefix ? request_end::truncated : request_end::wrong;
        }
        else {
            result.end = state.text == prepared.expected_text ? request_end::whole : request_end::wrong;
        }
        return;
    }
    if (!answer) {
        return;
    }
    result.first_token = result.total;
    if (result.kind == request_kind::service_call) {
        result.end = request_end::whole;
        return;
    }
    const core::result<Json::Value> json = core::parse_json(state.body);
    if (!json || !json->isObject() || !(*json)["choices"].isArray() || (*json)["choices"].empty()) {
        result.end = request_end::wrong;
        return;
    }
    result.used_tokens = used_tokens(*json);
    const std::string text = core::string_member((*json)["choices"][0]["message"], "content");
    result.end = text == prepared.expected_text ? request_end::whole : request_end::wrong;
}

request_result load_client::send(const planned_request& planned, const prepared_request& prepared,
                                 const std::string& plan)
{
    const bool is_slow = planned.kind == request_kind::slow_reader;
    if (!this->connection || this->is_connection_slow != is_slow) {
        this->open(is_slow);
    }
    receive_state state;
    state.started = std::chrono::steady_clock::now();
    state.last_piece = state.started;
    state.deadline = state.started + this->options.request_timeout;
    state.is_slow = is_slow;
    httplib::Request message = this->make_message(planned, prepared.body, plan);
    message.response_handler = [&state](const httplib::Response& response) {
        state.status = response.status;
        state.is_stream = response.get_header_value("Content-Type").starts_with("text/event-stream");
        return true;
    };
    message.content_receiver = [this, &state](const char* data, std::size_t size, std::uint64_t,
                                              std::uint64_t) {
        return this->receive(state, data, size);
    };
    const httplib::Result answer = this->connection->send(message);
    request_result result;
    result.kind = planned.kind;
    result.total = elapsed_since(state.started);
    this->fill_result(state, answer, prepared, result);
    if (!answer) {
        this->connection.reset();
    }
    return result;
}

} // namespace samphireway::bench
