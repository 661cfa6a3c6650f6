#include "traffic/upstream/engine_call.h"

#include "traffic/stream/chunk_sequence.h"
#include "traffic/stream/event_decoder.h"

#include <algorithm>

namespace samphireway::traffic {

namespace {

constexpr const char* completions_path = "/v1/chat/completions";
constexpr const char* end_of_stream = "[DONE]";
constexpr int status_ok = 200;
constexpr std::size_t maximum_error_body_bytes = 4096;

core::error protocol_failure(const std::string& message)
{
    return core::error{
        .code = core::error_code::upstream_failed, .message = message, .run = core::verdict::may_have_run};
}

/** State of the stream that an attempt receives. */
struct stream_state {
    explicit stream_state(const engine_request& request) : sequence(request.stream_id, request.resume_from) {}

    event_decoder decoder;
    chunk_sequence sequence;
    engine_outcome outcome;
    std::string error_body;
    int status = 0;
    bool has_final_chunk = false;
    bool is_complete = false;
    bool is_cancelled = false;
};

bool set_failure(stream_state& state, const std::string& message)
{
    state.outcome.failure = protocol_failure(message);
    return false;
}

bool verify_chunk(stream_state& state, chunk_check outcome)
{
    if (outcome == chunk_check::wrong_stream) {
        return set_failure(state, "upstream sent a chunk of another stream");
    }
    return outcome != chunk_check::gap || set_failure(state, "upstream skipped a position of the stream");
}

bool receive_final(stream_state& state, const Json::Value& json, const std::string& reason)
{
    const std::string stream = core::string_member(json, "stream_id");
    if (!verify_chunk(state, state.sequence.check_end(stream, core::integer_member(json, "position", -1)))) {
        return false;
    }
    state.has_final_chunk = true;
    state.outcome.finish_reason = reason;
    const Json::Value& usage = json["usage"];
    if (usage.isObject()) {
        state.outcome.has_usage = true;
        state.outcome.usage.prompt = core::integer_member(usage, "prompt_tokens");
        state.outcome.usage.output = core::integer_member(usage, "completion_tokens");
    }
    return true;
}

bool receive_text(stream_state& state, const Json::Value& json, const std::string& text,
                  const chunk_receiver& receive)
{
    const std::int64_t position = core::integer_member(json, "position", -1);
    chunk_sequence advanced = state.sequence;
    const chunk_check outcome = advanced.accept(core::string_member(json, "stream_id"), position);
    if (!verify_chunk(state, outcome)) {
        return false;
    }
    if (outcome == chunk_check::duplicate) {
        return true;
    }
    if (!receive(text, position)) {
        state.is_cancelled = true;
        return false;
    }
    state.sequence = advanced;
    ++state.outcome.chunks;
    return true;
}

bool receive_event(stream_state& state, const std::string& data, const chunk_receiver& receive)
{
    if (data == end_of_stream) {
        state.is_complete = state.has_final_chunk;
        return state.is_complete || set_failure(state, "upstream ended the stream before it was complete");
    }
    const core::result<Json::Value> json = core::parse_json(data);
    if (!json || !json->isObject() || !(*json)["choices"].isArray() || (*json)["choices"].empty()) {
        return set_failure(state, "upstream sent a malformed event");
    }
    const Json::Value& choice = (*json)["choices"][0];
    const std::string text = core::string_member(choice["delta"], "content");
    if (!text.empty() && !receive_text(state, *json, text, receive)) {
        return false;
    }
    const std::string reason = core::string_member(choice, "finish_reason");
    return reason.empty() || receive_final(state, *json, reason);
}

core::error timeout_failure(const deadline_watch& watch, const engine_request& request, bool has_bytes)
{
    core::error failure{.code = core::error_code::upstream_timeout,
                        .message = has_bytes ? "the upstream sent no further data in time"
                                             : "the upstream did not start to answer in time",
                        .run = core::verdict::may_have_run};
    if (watch.is_interrupted()) {
        failure.code = core::error_code::draining;
        failure.message = "the node shut down before the answer was complete";
    }
    else if (std::chrono::steady_clock::now() >= request.deadline) {
        failure.message = "the request's deadline has passed";
    }
    return failure;
}

void set_final_failure(stream_state& state, const httplib::Result& result)
{
    if (state.is_cancelled) {
        state.outcome.failure = core::error{.code = core::error_code::cancelled,
                                            .message = "the receiver cancelled the stream",
                                            .run = core::verdict::may_have_run};
        return;
    }
    if (state.outcome.failure || state.is_complete) {
        return;
    }
    if (state.status != 0 && state.status != status_ok) {
        state.outcome.failure = status_failure(state.status, state.error_body);
        return;
    }
    state.outcome.failure = result ? protocol_failure("upstream ended the stream before it was complete")
                                   : transport_failure(result.error());
}

void cancel_stream(connection_pool& connections, deadline_watch& watch, const engine_request& request)
{
    // The engine also notices the closed connection, but only when it next writes.
    constexpr std::chrono::milliseconds cancel_timeout{500};
    std::unique_ptr<httplib::Client> client = connections.take(request.where);
    bool is_answered = false;
    {
        const watched_call call(watch, std::chrono::steady_clock::now() + cancel_timeout,
                                [&client] { client->stop(); });
        is_answered = static_cast<bool>(client->Post("/v1/streams/" + request.stream_id + "/cancel"));
    }
    if (is_answered) {
        connections.give_back(request.where, std::move(client));
    }
}

} // namespace

core::error transport_failure(httplib::Error error)
{
    // The library reopens a closed idle connection before it writes, so a failure to connect means that
    // nothing was sent. A write can fail after some bytes were sent.
    core::error failure{.code = core::error_code::upstream_failed,
                        .message = "upstream call failed: " + httplib::to_string(error),
                        .run = core::verdict::may_have_run};
    switch (error) {
    case httplib::Error::Connection:
    case httplib::Error::ConnectionTimeout:
    case httplib::Error::BindIPAddress:
    case httplib::Error::SSLConnection:
    case httplib::Error::SSLLoadingCerts:
    case httplib::Error::SSLServerVerification:
        failure.run = core::verdict::not_run;
        break;
    default:
        break;
    }
    return failure;
}

core::error status_failure(int status, const std::string& body)
{
    constexpr int too_many_requests = 429;
    constexpr int unavailable = 503;
    core::error failure{.code = core::error_code::upstream_failed,
                        .message = "upstream answered with status " + std::to_string(status),
                        .run = core::verdict::may_have_run};
    if (status == too_many_requests || status == unavailable) {
        failure.code = core::error_code::overloaded;
        failure.run = core::verdict::not_run;
    }
    else if (status >= 400 && status < 500) {
        failure.code = core::error_code::invalid_argument;
        failure.message += ": " + body.substr(0, 200);
        failure.run = core::verdict::not_run;
    }
    return failure;
}

core::error lease_expired_failure()
{
    return core::error{.code = core::error_code::overloaded,
                       .message =
                           "the node's lease on the upstream's load expired before the request was sent",
                       .run = core::verdict::not_run};
}

core::error unsent_failure(const deadline_watch& watch)
{
    if (!watch.is_interrupted()) {
        return lease_expired_failure();
    }
    return core::error{.code = core::error_code::draining,
                       .message = "the node shut down before the request was sent",
                       .run = core::verdict::not_run};
}

engine_outcome call_engine(connection_pool& connections, deadline_watch& watch, const engine_request& request,
                           const chunk_receiver& receive)
{
    stream_state state(request);
    bool has_bytes = false;
    std::unique_ptr<httplib::Client> client = connections.take(request.where);
    bool is_interrupted = false;
    bool is_reusable = false;
    {
        watched_call call(watch, std::min(request.first_byte_deadline, request.deadline),
                          [&client] { client->stop(); });
        httplib::Request message;
        message.method = "POST";
        message.path = completions_path;
        message.body = request.body;
        message.set_header("Content-Type", "application/json");
        message.set_header("X-Request-Id", request.request_id);
        message.response_handler = [&state](const httplib::Response& response) {
            state.status = response.status;
            return true;
        };
        message.content_receiver = [&](const char* data, std::size_t size, std::uint64_t, std::uint64_t) {
            has_bytes = true;
            const core::steady_time gap = std::chrono::steady_clock::now() + request.gap_timeout;
            call.set_deadline(std::min(gap, request.deadline));
            if (state.status != status_ok) {
                state.error_body.append(data, std::min(size, maximum_error_body_bytes));
                return state.error_body.size() < maximum_error_body_bytes;
            }
            return state.decoder.feed(std::string_view(data, size), [&](const std::string& event) {
                return receive_event(state, event, receive);
            });
        };
        if (!request.may_send() || call.is_interrupted()) {
            state.outcome.failure = unsent_failure(watch);
            state.outcome.next_position = request.resume_from;
            return std::move(state.outcome);
        }
        const httplib::Result result = client->send(message);
        set_final_failure(state, result);
        is_interrupted = call.is_interrupted();
        is_reusable = static_cast<bool>(result) && !is_interrupted;
    }
    engine_outcome& outcome = state.outcome;
    outcome.next_position = state.sequence.next_position();
    const bool is_unsent = outcome.failure && outcome.failure->run == core::verdict::not_run;
    if (outcome.failure && is_interrupted && !state.is_cancelled && !is_unsent) {
        outcome.failure = timeout_failure(watch, request, has_bytes);
    }
    if (!outcome.failure && is_reusable) {
        connections.give_back(request.where, std::move(client));
    }
    else if (state.is_cancelled) {
        client.reset();
        cancel_stream(connections, watch, request);
    }
    return std::move(outcome);
}

bool is_engine_alive(const connection_pool& connections, deadline_watch& watch, const endpoint& where,
                     core::steady_time deadline)
{
    const std::unique_ptr<httplib::Client> client = connections.connect(where);
    const watched_call call(watch, deadline, [&client] { client->stop(); });
    const httplib::Result result = client->Get("/load");
    return static_cast<bool>(result);
}

} // namespace samphireway::traffic
