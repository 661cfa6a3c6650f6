#include "traffic/chat/chat_handler.h"

#include "traffic/server/drain_gate.h"

#include <algorithm>
#include <thread>

namespace samphireway::traffic {

namespace {

using std::chrono::milliseconds;

// Small, so that the encoded copy of a piece adds little to the memory used for a reader.
constexpr std::size_t piece_bytes = 4096;
// Delay before a refused resume is tried again.
constexpr milliseconds resume_delay{100};
constexpr milliseconds resume_poll_interval{10};

core::error deadline_passed()
{
    return core::error{.code = core::error_code::upstream_timeout,
                       .message = "the request's deadline has passed",
                       .run = core::verdict::may_have_run};
}

/**
    Returns the identifier of a request for billing, or an empty text when the caller sent no id.

    It includes a hash of the body, so that a caller who uses one id for different requests is billed
    for each of them.
*/
std::string billing_id_of(const httplib::Request& request)
{
    const std::string caller_id = request.get_header_value("X-Request-Id");
    return caller_id.empty() ? caller_id : caller_id + ":" + core::to_hex(core::hash64(request.body));
}

} // namespace

/** One request from its arrival to its settlement. */
struct chat_handler::exchange {
    explicit exchange(reader_memory& memory) : buffer(memory) {}

    std::shared_ptr<void> ticket;
    std::shared_ptr<const configuration::snapshot> configuration;
    chat_request chat;
    attempt_progress progress;
    budget::reservation reservation;
    request_outcome outcome;
    text_buffer buffer;
    answer_format format;
    bool is_full = false; ///< Whether the last run was cancelled because the buffer is full.
    bool has_written_opening = false;
    core::steady_time arrived;
    core::steady_time deadline;
    core::steady_time first_token_at;
};

chat_handler::chat_handler(chat_services services_to_use)
    : services(std::move(services_to_use)), runner(this->services.attempts)
{
}

void chat_handler::handle(const httplib::Request& request, httplib::Response& response)
{
    core::result<std::shared_ptr<exchange>> active = this->open(request);
    if (!active) {
        write_error(response, active.error(), request_id_of(request));
        return;
    }
    this->answer(*active, response);
}

core::result<std::shared_ptr<chat_handler::exchange>> chat_handler::open(const httplib::Request& request)
{
    auto active = std::make_shared<exchange>(*this->services.memory);
    active->arrived = std::chrono::steady_clock::now();
    active->deadline = active->arrived + this->services.request_timeout;
    active->configuration = this->services.configuration();
    active->outcome.request_id = request_id_of(request);
    const auto refuse = [&](const core::error& failure) {
        active->outcome.failure = failure;
        active->outcome.total = std::chrono::duration_cast<std::chrono::microseconds>(
            std::chrono::steady_clock::now() - active->arrived);
        this->services.observe(active->outcome);
        return tl::unexpected(failure);
    };
    active->ticket = this->services.begin_request();
    if (!active->ticket) {
        return refuse(draining_failure());
    }
    const core::result<caller_identity> caller =
        authenticate(*active->configuration, request.get_header_value("Authorization"));
    if (!caller) {
        return refuse(caller.error());
    }
    active->outcome.plan = caller->plan;
    active->outcome.workspace = caller->workspace;
    core::result<chat_request> chat = parse_chat_request(request.body, this->services.limits);
    if (!chat) {
        return refuse(chat.error());
    }
    active->chat = std::move(*chat);
    active->outcome.model = active->chat.model;
    active->outcome.reserved_tokens = active->chat.prompt_bound + active->chat.output_bound;
    active->progress.route = routing::route_request{.workspace = caller->workspace,
                                                    .plan = caller->plan,
                                                    .model = active->chat.model,
                                                    .estimated_tokens = active->outcome.reserved_tokens,
                                                    .prefix_hash = active->chat.prefix_hash,
                                                    .priority = priority_of(request),
                                                    .excluded = {}};
    if (routing::list_candidates(*active->configuration, active->progress.route).empty()) {
        return refuse(core::error{.code = core::error_code::not_found,
                                  .message = "the plan has no upstream for model " + active->chat.model});
    }
    const core::steady_time reserve_deadline = active->arrived + this->services.reserve_timeout;
    core::result<budget::reservation> reserved = this->services.grant_pool->reserve_until(
        caller->plan, active->outcome.reserved_tokens, reserve_deadline);
    if (!reserved) {
        return refuse(reserved.error());
    }
    active->reservation = std::move(*reserved);
    active->reservation.request_id = billing_id_of(request);
    active->progress.configuration = active->configuration;
    active->progress.body = active->chat.body;
    active->progress.request_id = active->outcome.request_id;
    active->progress.stream_id = core::random_identifier();
    active->progress.deadline = active->deadline;
    return active;
}

void chat_handler::settle_exchange(exchange& active, const engine_outcome& outcome)
{
    request_outcome& summary = active.outcome;
    summary.failure = outcome.failure;
    summary.run = outcome.failure ? outcome.failure->run : core::verdict::ran;
    summary.failed_attempts = active.progress.failed_attempts;
    summary.attempts = active.progress.attempts;
    summary.upstream = active.progress.upstream;
    summary.version = active.progress.version;
    summary.prompt_tokens = outcome.usage.prompt;
    summary.output_tokens = outcome.usage.output;
    std::int64_t used = outcome.usage.prompt + outcome.usage.output;
    if (!outcome.has_usage) {
        // If the upstream reported no usage, the prompt counts at its upper bound and each received
        // chunk as one token.
        const std::int64_t received = active.progress.position;
        used = received == 0 ? 0 : active.chat.prompt_bound + received;
    }
    summary.billed_tokens = this->services.grant_pool->settle(active.reservation, used);
    const auto now = std::chrono::steady_clock::now();
    summary.total = std::chrono::duration_cast<std::chrono::microseconds>(now - active.arrived);
    if (active.first_token_at != core::steady_time{}) {
        summary.first_token =
            std::chrono::duration_cast<std::chrono::microseconds>(active.first_token_at - active.arrived);
    }
    this->services.observe(summary);
}

void chat_handler::run_upstream_side(exchange& active)
{
    active.is_full = false;
    const std::int64_t before = active.progress.position;
    bool is_oversized = false;
    engine_outcome outcome = this->runner.run(active.progress, [&](const std::string& text, std::int64_t) {
        if (active.first_token_at == core::steady_time{}) {
            active.first_token_at = std::chrono::steady_clock::now();
        }
        is_oversized = text.size() > this->services.memory->reader_limit();
        const append_result appended = active.buffer.append(text);
        active.is_full = appended == append_result::full && !is_oversized;
        return appended == append_result::accepted;
    });
    if (is_oversized && outcome.failure) {
        outcome.failure->code = core::error_code::upstream_failed;
        outcome.failure->message = "upstream sent a chunk larger than a reader's buffer";
    }
    const core::steady_time now = std::chrono::steady_clock::now();
    const bool has_progress = active.progress.position > before;
    const bool is_resume_refused = outcome.failure && active.progress.position > 0 && !has_progress &&
                                   outcome.failure->code == core::error_code::overloaded &&
                                   now < active.deadline && !this->services.attempts.watch->is_interrupted();
    if (active.is_full || is_resume_refused) {
        active.outcome.has_waited_for_reader = true;
        // No progress means that the node's memory or the upstream's load is used up, so the next
        // resume is delayed.
        if (active.buffer.pause(has_progress ? now : now + resume_delay)) {
            return;
        }
    }
    this->settle_exchange(active, outcome);
    active.buffer.end(stream_end{
        .failure = outcome.failure, .usage = outcome.usage, .finish_reason = outcome.finish_reason});
}

void chat_handler::cancel_exchange(exchange& active)
{
    if (!active.buffer.cancel()) {
        return;
    }
    engine_outcome outcome;
    outcome.failure = core::error{.code = core::error_code::cancelled,
                                  .message = "the caller closed the connection",
                                  .run = core::verdict::may_have_run};
    this->settle_exchange(active, outcome);
}

void chat_handler::answer(const std::shared_ptr<exchange>& active, httplib::Response& response)
{
    const std::string& request_id = active->outcome.request_id;
    const bool is_streaming = active->chat.is_streaming;
    active->format = is_streaming ? event_stream_format(request_id, active->chat.model)
                                  : json_document_format(request_id, active->chat.model);
    const bool is_started = this->services.run_stream([this, active] { this->run_upstream_side(*active); });
    if (!is_started) {
        engine_outcome refused;
        refused.failure = core::error{.code = core::error_code::overloaded,
                                      .message = "the node has reached its limit of concurrent streams"};
        this->settle_exchange(*active, refused);
        write_error(response, *refused.failure, request_id);
        return;
    }
    const bool is_ready = is_streaming ? active->buffer.wait_for_text(active->deadline)
                                       : active->buffer.wait_until_half_full(active->deadline);
    const std::optional<stream_end> early_end = active->buffer.end_if_known();
    if (!is_ready || (early_end && early_end->failure && !(is_streaming && active->buffer.has_started()))) {
        this->cancel_exchange(*active);
        write_error(response, early_end ? *early_end->failure : deadline_passed(), request_id);
        return;
    }
    response.set_header("X-Request-Id", request_id);
    response.set_header("X-Samphireway-Verdict", std::string(core::to_string(core::verdict::ran)));
    if (early_end && !is_streaming) {
        const std::string text = active->buffer.take(this->services.memory->reader_limit(), active->deadline);
        response.set_content(active->format.opening + active->format.piece(text) +
                                 active->format.closing(*early_end),
                             active->format.content_type);
        active->buffer.confirm_written(text.size());
        return;
    }
    response.set_header("Cache-Control", "no-store");
    response.set_chunked_content_provider(
        active->format.content_type,
        [this, active](std::size_t, httplib::DataSink& sink) { return this->relay(active, sink); },
        [this, active](bool) { this->cancel_exchange(*active); });
}

bool chat_handler::relay(const std::shared_ptr<exchange>& active, httplib::DataSink& sink)
{
    const core::steady_time now = std::chrono::steady_clock::now();
    if (now >= active->deadline) {
        return end_with_failure(*active, sink, deadline_passed());
    }
    if (active->buffer.try_resume(now) &&
        !this->services.run_stream([this, active] { this->run_upstream_side(*active); })) {
        active->buffer.pause(now + resume_delay);
    }
    if (!active->has_written_opening) {
        active->has_written_opening = true;
        const std::string& opening = active->format.opening;
        if (!opening.empty() && !sink.write(opening.data(), opening.size())) {
            return false;
        }
    }
    const std::string text = active->buffer.take(piece_bytes, active->deadline);
    if (!text.empty()) {
        const std::string piece = active->format.piece(text);
        const bool is_written = sink.write(piece.data(), piece.size());
        active->buffer.confirm_written(text.size());
        return is_written;
    }
    const std::optional<stream_end> end = active->buffer.end_if_drained();
    if (!end) {
        std::this_thread::sleep_for(resume_poll_interval);
        return true;
    }
    if (end->failure) {
        return end_with_failure(*active, sink, *end->failure);
    }
    const std::string closing = active->format.closing(*end);
    sink.write(closing.data(), closing.size());
    sink.done();
    return true;
}

bool chat_handler::end_with_failure(const exchange& active, httplib::DataSink& sink,
                                    const core::error& failure)
{
    if (!active.format.failure) {
        return false;
    }
    const std::string message = active.format.failure(failure);
    sink.write(message.data(), message.size());
    sink.done();
    return true;
}

} // namespace samphireway::traffic
