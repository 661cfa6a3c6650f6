#include "engine/engine_standin.h"

#include "bench/check/engine_text.h"

#include <algorithm>
#include <thread>

namespace samphireway::standin {

namespace {

using std::chrono::milliseconds;

constexpr const char* json_type = "application/json";
constexpr std::size_t maximum_threads = 8192;
constexpr std::int64_t default_output_tokens = 16;
constexpr milliseconds fault_poll_interval{50};

std::string event(const std::string& data)
{
    return "data: " + data + "\n\n";
}

std::string concatenated_text(const Json::Value& messages)
{
    std::string text;
    for (const Json::Value& message : messages) {
        text += core::string_member(message, "content");
    }
    return text;
}

void answer(httplib::Response& response, int status, const Json::Value& body)
{
    response.status = status;
    response.set_content(core::write_json(body), json_type);
}

} // namespace

engine_standin::engine_standin(engine_standin_options options_to_use)
    : options(std::move(options_to_use)), faults(initial_engine_faults()), batch(this->options.limits),
      cache(this->options.cache_tokens),
      orders(this->options.model, this->options.version, this->options.weights),
      http({.address = this->options.address,
            .port = this->options.port,
            .maximum_threads = maximum_threads,
            .tls_certificate_file = {},
            .tls_key_file = {}})
{
}

core::result<void> engine_standin::start()
{
    this->add_routes();
    return this->http.start();
}

void engine_standin::add_routes()
{
    httplib::Server& server = this->http.server();
    this->faults.add_routes(server);
    this->add_control_routes(server);
    server.Post("/v1/chat/completions", [this](const httplib::Request& request, httplib::Response& response) {
        this->handle_completion(request, response);
    });
    server.Post("/v1/streams/([^/]+)/cancel",
                [this](const httplib::Request& request, httplib::Response& response) {
                    Json::Value body(Json::objectValue);
                    body["cancelled"] = this->jobs.cancel(request.matches[1].str());
                    answer(response, body["cancelled"].asInt() > 0 ? 200 : 404, body);
                });
    server.Post("/orders", [this](const httplib::Request& request, httplib::Response& response) {
        const core::result<Json::Value> order = core::parse_json(request.body);
        if (!order || !order->isObject()) {
            answer(response, 400, Json::Value(Json::objectValue));
            return;
        }
        const order_conditions conditions{.ignores_fencing = this->faults.is_on("ignore_fencing"),
                                          .load_interval =
                                              milliseconds(this->faults.number("load_interval_ms")),
                                          .load_time = milliseconds(this->faults.number("load_time_ms"))};
        const order_answer outcome =
            this->orders.execute(*order, conditions, std::chrono::steady_clock::now());
        answer(response, outcome.status, outcome.body);
    });
}

void engine_standin::add_control_routes(httplib::Server& server)
{
    server.Get("/load", [this](const httplib::Request&, httplib::Response& response) {
        answer(response, 200,
               this->batch.load_report(milliseconds(this->faults.number("load_lag_ms")),
                                       std::chrono::steady_clock::now()));
    });
    server.Get("/cache/events", [this](const httplib::Request& request, httplib::Response& response) {
        const event_faults delivery_faults{.delay = milliseconds(this->faults.number("cache_event_delay_ms")),
                                           .drop_every = this->faults.number("cache_event_drop_every")};
        const std::uint64_t after = std::strtoull(request.get_param_value("after").c_str(), nullptr, 10);
        answer(response, 200, this->cache.events(after, delivery_faults, std::chrono::steady_clock::now()));
    });
    server.Get("/orders", [this](const httplib::Request&, httplib::Response& response) {
        answer(response, 200, this->orders.state(std::chrono::steady_clock::now()));
    });
    server.Get("/counters", [this](const httplib::Request&, httplib::Response& response) {
        answer(response, 200, to_json(this->batch.counters()));
    });
}

std::shared_ptr<engine_job> engine_standin::make_job(const httplib::Request& request, const Json::Value& body)
{
    auto job = std::make_shared<engine_job>(this->batch);
    job->stream_id = core::string_member(body, "stream_id");
    job->quoted_stream_id = core::write_json(job->stream_id);
    job->remote_port = request.remote_port;
    job->is_streaming = core::boolean_member(body, "stream");
    job->prompt_hash = bench::prompt_hash(body["messages"]);
    job->priority = core::integer_member(body, "priority");
    job->prompt_tokens = bench::prompt_tokens(body["messages"]);
    job->output_limit = core::integer_member(body, "max_tokens", default_output_tokens);
    job->resumed_from = core::integer_member(body, "resume_from");
    job->position = job->resumed_from;
    job->held_tokens = job->prompt_tokens + job->output_limit;
    const arriving_request arriving{.arrival_number = ++this->arrivals,
                                    .running = this->batch.counters().running,
                                    .version = core::string_member(body, "version", this->options.version),
                                    .body = body};
    job->is_faulty = is_fault_in_scope(this->faults, arriving);
    return job;
}

void engine_standin::handle_completion(const httplib::Request& request, httplib::Response& response)
{
    const core::result<Json::Value> body = core::parse_json(request.body);
    if (!body || !body->isObject() || !(*body)["messages"].isArray()) {
        answer(response, 400, Json::Value(Json::objectValue));
        return;
    }
    while (this->silent.is_silent(this->faults, request.remote_port)) {
        std::this_thread::sleep_for(fault_poll_interval);
    }
    const std::string model = core::string_member(*body, "model", this->options.model);
    const std::string version = core::string_member(*body, "version", this->options.version);
    const std::shared_ptr<engine_job> job = this->make_job(request, *body);
    const std::int64_t fail_rate = this->faults.number("fail_rate_percent");
    if (job->is_faulty && fail_rate > 0 && this->arrivals * fail_rate % 100 < fail_rate) {
        this->batch.count(engine_counters{.requests = 1, .failed = 1});
        answer(response, 500, Json::Value(Json::objectValue));
        return;
    }
    if (!this->orders.is_loaded(model, version, std::chrono::steady_clock::now())) {
        this->batch.count(engine_counters{.requests = 1, .refused = 1});
        answer(response, 503, Json::Value(Json::objectValue));
        return;
    }
    if (!this->join(*job, (*body)["messages"], response)) {
        return;
    }
    this->jobs.add(job);
    if (job->is_streaming) {
        this->answer_streaming(job, response);
        return;
    }
    this->answer_in_one_response(job, response);
}

bool engine_standin::join(engine_job& job, const Json::Value& messages, httplib::Response& response)
{
    const admission outcome = this->batch.join(job.priority, job.held_tokens);
    if (outcome != admission::admitted) {
        answer(response, outcome == admission::refused ? 503 : 500, Json::Value(Json::objectValue));
        return false;
    }
    job.is_admitted = true;
    job.incarnation = this->batch.incarnation();
    const core::steady_time now = std::chrono::steady_clock::now();
    job.cached_tokens = std::min(job.prompt_tokens, this->cache.use(concatenated_text(messages), now));
    job.next_token = now + this->options.prefill_per_token * (job.prompt_tokens - job.cached_tokens);
    return true;
}

bool engine_standin::is_aborted(const engine_job& job) const
{
    return job.is_cancelled || job.incarnation != this->batch.incarnation();
}

bool engine_standin::wait_for_token(engine_job& job)
{
    const std::int64_t slow_factor = job.is_faulty ? this->faults.number("slow_factor") : 1;
    job.next_token += this->options.token_interval * std::max<std::int64_t>(1, slow_factor);
    std::this_thread::sleep_until(job.next_token);
    while (!this->is_aborted(job) &&
           (this->faults.is_on("frozen") || this->silent.is_silent(this->faults, job.remote_port))) {
        std::this_thread::sleep_for(fault_poll_interval);
    }
    return !this->is_aborted(job);
}

void engine_standin::add_usage(engine_job& job, Json::Value& json) const
{
    if (this->faults.is_on("omit_usage")) {
        return;
    }
    job.excess_tokens = this->faults.number("excess_usage_tokens");
    json["usage"]["prompt_tokens"] = static_cast<Json::Int64>(job.prompt_tokens);
    json["usage"]["completion_tokens"] = static_cast<Json::Int64>(job.position + job.excess_tokens);
}

void engine_standin::answer_in_one_response(const std::shared_ptr<engine_job>& job,
                                            httplib::Response& response)
{
    std::string text;
    while (job->position < job->output_limit) {
        if (!this->wait_for_token(*job)) {
            answer(response, 500, Json::Value(Json::objectValue));
            return;
        }
        text += bench::token_text(job->prompt_hash, job->position);
        ++job->position;
    }
    Json::Value json(Json::objectValue);
    json["id"] = job->stream_id;
    json["stream_id"] = this->faults.is_on("wrong_stream_id") ? "another-stream" : job->stream_id;
    json["object"] = "chat.completion";
    const bool has_no_content = job->is_faulty && this->faults.is_on("empty_answers");
    json["choices"][0]["message"]["content"] = has_no_content ? "" : text;
    json["choices"][0]["finish_reason"] = "length";
    this->add_usage(*job, json);
    job->is_complete = true;
    answer(response, 200, json);
}

void engine_standin::answer_streaming(const std::shared_ptr<engine_job>& job, httplib::Response& response)
{
    const auto provide = [this, job](std::size_t, httplib::DataSink& sink) {
        const std::int64_t cut_after = job->is_faulty ? this->faults.number("cut_after_tokens") : 0;
        if (cut_after > 0 && job->position - job->resumed_from >= cut_after) {
            return false;
        }
        const bool has_no_content = job->is_faulty && this->faults.is_on("empty_answers");
        if (job->position < job->output_limit && !has_no_content) {
            return this->write_token(*job, sink);
        }
        this->write_end(*job, sink);
        return true;
    };
    response.set_chunked_content_provider("text/event-stream", provide);
}

bool engine_standin::write_token(engine_job& job, httplib::DataSink& sink)
{
    if (!this->wait_for_token(job)) {
        return false;
    }
    // Built as text: creating JSON values for 25,000 chunks a second would take processor time from the
    // node under test.
    const bool has_wrong_id = this->faults.is_on("wrong_stream_id");
    std::string chunk = R"(data: {"choices":[{"delta":{"content":")";
    chunk += bench::token_text(job.prompt_hash, job.position);
    chunk += R"("},"finish_reason":null}],"position":)" + std::to_string(job.position);
    chunk += R"(,"stream_id":)" + (has_wrong_id ? R"("another-stream")" : job.quoted_stream_id) + "}\n\n";
    ++job.position;
    const std::int64_t duplicate_every = this->faults.number("duplicate_every");
    if (duplicate_every > 0 && job.position % duplicate_every == 0) {
        chunk += chunk;
    }
    return sink.write(chunk.data(), chunk.size());
}

void engine_standin::write_end(engine_job& job, httplib::DataSink& sink)
{
    Json::Value json(Json::objectValue);
    json["stream_id"] = job.stream_id;
    json["position"] = static_cast<Json::Int64>(job.position);
    Json::Value& choice = json["choices"].append(Json::Value(Json::objectValue));
    choice["finish_reason"] = "length";
    choice["delta"] = Json::Value(Json::objectValue);
    this->add_usage(job, json);
    const std::string closing = event(core::write_json(json)) + event("[DONE]");
    job.is_complete = true;
    sink.write(closing.data(), closing.size());
    sink.done();
}

} // namespace samphireway::standin
