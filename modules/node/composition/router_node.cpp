#include "node/composition/router_node.h"

#include <algorithm>

namespace samphireway::node {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds budget_tick_interval{100};
constexpr milliseconds drain_poll_interval{20};
// Time in which interrupted requests send their errors to callers and the last ledger writes complete.
constexpr milliseconds last_write_timeout{3000};
// A stop while the platform is unavailable gives up after this time; the grants of this node that were
// not returned are then in doubt.
constexpr milliseconds grant_return_timeout{10000};
constexpr std::size_t blocking_thread_count = 16;
constexpr std::size_t admin_thread_count = 64;

std::string make_incarnation(const std::string& node_id)
{
    constexpr std::size_t suffix_length = 12;
    return node_id + "." + core::random_identifier().substr(0, suffix_length);
}

} // namespace

router_node::router_node(settings::node_settings settings_to_use)
    : settings(std::move(settings_to_use)), incarnation(make_incarnation(this->settings.node.id)),
      metrics(this->make_metric_sources()),
      platform({.address = this->settings.platform.address,
                .port = this->settings.platform.port,
                .call_timeout = this->settings.platform.call_timeout,
                .on_call =
                    [this](std::string_view kind, bool has_failed) {
                        this->metrics.observe_platform_call(kind, has_failed);
                    }}),
      configuration(this->settings.shards.lists), blocking_pool({.maximum_threads = blocking_thread_count}),
      stream_pool({.maximum_threads = this->settings.traffic.caller_threads, .maximum_queued = 0}),
      grant_pool({.holder = this->incarnation,
                  .ledger_shards = this->settings.shards.budget_ledgers,
                  .on_shortage = [this] { this->budgets.request_tick(); },
                  .calls = budget::call_limits_for(this->settings.shards.budget_ledgers)}),
      budgets(this->grant_pool,
              {.store = this->platform.make_object_store(),
               .time = {},
               .run_blocking =
                   [this](std::function<void()> work) { this->blocking_pool.submit(std::move(work)); },
               .run_control =
                   [this](std::function<void()> work) {
                       this->control.post(std::move(work));
                   }}),
      loads({.gate = {.holder = this->incarnation,
                      .ledger_shards = this->settings.shards.load_ledgers,
                      .request_timeout = this->settings.traffic.request_timeout,
                      .on_shortage =
                          [this] {
                              this->loads.request_tick();
                          }},
             .controller = {
                 .store = this->platform.make_object_store(),
                 .time = {},
                 .run_blocking =
                     [this](std::function<void()> work) { this->blocking_pool.submit(std::move(work)); },
                 .run_control =
                     [this](std::function<void()> work) {
                         this->control.post(std::move(work));
                     }},
             .configuration =
                 [this] {
                     return this->configuration.current();
                 }}),
      moves({.node = this->incarnation,
             .store = this->platform.make_object_store(),
             .configuration = [this] { return this->configuration.current(); },
             .run_blocking =
                 [this](std::function<void()> work) { return this->blocking_pool.submit(std::move(work)); },
             .run_control =
                 [this](std::function<void()> work) {
                     this->control.post(std::move(work));
                 }},
            thread_random),
      connections({.connect_timeout = this->settings.traffic.connect_timeout,
                   .read_timeout = this->settings.traffic.request_timeout,
                   .verifies_certificates = this->settings.traffic.upstream_tls_verify,
                   .tls_ca_file = this->settings.traffic.upstream_tls_ca_file}),
      routes({.availability_zone = this->settings.node.availability_zone,
              .is_leaving = [this](const std::string& upstream) { return this->fleet.is_leaving(upstream); },
              .gate = &this->loads.gate(),
              .connections = &this->connections,
              .watch = &this->watch,
              .filter =
                  [this](std::vector<routing::candidate>& candidates, const routing::route_request& request) {
                      this->moves.choose_version(candidates, request);
                  }}),
      retries({}), memory({.reader_bytes = this->settings.traffic.reader_buffer_bytes,
                           .node_bytes = this->settings.traffic.node_buffer_bytes,
                           .readers = this->settings.traffic.caller_threads}),
      records(this->platform.make_object_store()), chat(this->make_chat_services()),
      services({.configuration = [this] { return this->configuration.current(); },
                .attempts = this->make_chat_services().attempts,
                .begin_request = [this] { return this->requests.begin_request(); },
                .records = &this->records,
                .request_timeout = this->settings.traffic.request_timeout}),
      administration(this->make_admin_services()),
      caller_server({.address = this->settings.listen.address,
                     .port = this->settings.listen.caller_port,
                     .maximum_threads = this->settings.traffic.caller_threads,
                     .maximum_body_bytes = this->settings.traffic.maximum_body_bytes,
                     .write_timeout = this->settings.traffic.stalled_reader_timeout,
                     .tls_certificate_file = this->settings.listen.tls_certificate_file,
                     .tls_key_file = this->settings.listen.tls_key_file}),
      admin_server({.address = this->settings.listen.address,
                    .port = this->settings.listen.admin_port,
                    .maximum_threads = admin_thread_count,
                    .tls_certificate_file = this->settings.listen.tls_certificate_file,
                    .tls_key_file = this->settings.listen.tls_key_file}),
      fleet(this->settings, this->incarnation, this->platform, this->configuration,
            {.requests_in_flight = [this] { return this->loads.gate().total_in_flight(); },
             .on_version_fault =
                 [this](const Json::Value& notice) {
                     this->control.post([this, notice] { this->moves.receive_notice(notice); });
                 },
             .on_move_evidence =
                 [this](const Json::Value& evidence) {
                     this->control.post([this, evidence] { this->moves.receive_evidence(evidence); });
                 }})
{
}

router_node::~router_node()
{
    this->is_stopping = true;
    this->caller_server.stop();
    this->admin_server.stop();
    this->platform.interrupt();
    this->fleet.stop();
    this->stream_pool.shutdown();
    this->blocking_pool.shutdown();
    this->control.stop();
}

core::result<void> router_node::start()
{
    this->add_caller_routes();
    this->administration.add_routes(this->admin_server.server());
    this->fleet.refuse_callers_until_ready(this->caller_server.server());
    this->control.post([this] { this->schedule_budget_tick(); });
    this->moves.start(this->control);
    core::result<void> started = this->fleet.start();
    if (started) {
        started = this->admin_server.start();
    }
    if (started) {
        started = this->caller_server.start();
    }
    if (started) {
        core::log_event(core::log_level::info, "node_started",
                        {{"node", this->settings.node.id},
                         {"incarnation", this->incarnation},
                         {"availability_zone", this->settings.node.availability_zone},
                         {"caller_port", this->settings.listen.caller_port}});
    }
    return started;
}

bool router_node::stop(core::steady_time deadline)
{
    this->is_stopping = true;
    this->fleet.peers().start_leaving();
    core::log_event(core::log_level::info, "node_draining", {{"node", this->settings.node.id}});
    // The load balancer must see the health check fail before requests are refused.
    const core::steady_time notice_end =
        std::chrono::steady_clock::now() + this->settings.traffic.stop_notice;
    while (std::chrono::steady_clock::now() < std::min(notice_end, deadline) &&
           !this->watch.is_interrupted()) {
        std::this_thread::sleep_for(drain_poll_interval);
    }
    this->requests.refuse_new();
    const bool is_idle = this->requests.wait_until_idle(deadline) || this->interrupt_requests();
    if (is_idle) {
        this->caller_server.stop();
        this->stream_pool.shutdown();
    }
    deadline = std::max(deadline, std::chrono::steady_clock::now() + last_write_timeout);
    this->grant_pool.start_drain();
    const core::steady_time return_deadline =
        std::min(deadline, std::chrono::steady_clock::now() + grant_return_timeout);
    while (!this->grant_pool.is_drained() && std::chrono::steady_clock::now() < return_deadline) {
        this->budgets.request_tick();
        std::this_thread::sleep_for(drain_poll_interval);
    }
    const bool is_clean = this->loads.drain(deadline) && this->grant_pool.is_drained() && is_idle &&
                          !this->watch.is_interrupted();
    core::log_event(core::log_level::info, "node_stopped",
                    {{"node", this->settings.node.id}, {"clean", is_clean ? "true" : "false"}});
    return is_clean;
}

void router_node::interrupt()
{
    this->watch.interrupt_all();
    this->requests.interrupt();
}

bool router_node::interrupt_requests()
{
    core::log_event(
        core::log_level::warning, "requests_interrupted",
        {{"node", this->settings.node.id}, {"active", static_cast<long long>(this->requests.active())}});
    this->interrupt();
    this->requests.resume_waiting();
    return this->requests.wait_until_idle(std::chrono::steady_clock::now() + last_write_timeout);
}

void router_node::add_caller_routes()
{
    httplib::Server& server = this->caller_server.server();
    server.Get("/healthz", [this](const httplib::Request&, httplib::Response& response) {
        response.status = this->is_stopping ? 503 : 200;
        response.set_content(this->is_stopping ? "draining\n" : "ok\n", "text/plain");
    });
    server.Get("/metrics", [this](const httplib::Request&, httplib::Response& response) {
        response.set_content(this->metrics.expose(), "text/plain; version=0.0.4");
    });
    server.Post("/v1/chat/completions", [this](const httplib::Request& request, httplib::Response& response) {
        this->chat.handle(request, response);
    });
    const auto forward = [this](const httplib::Request& request, httplib::Response& response) {
        this->services.handle(request, response);
    };
    server.Get("/services/.+", forward);
    server.Post("/services/.+", forward);
    server.Put("/services/.+", forward);
    server.Delete("/services/.+", forward);
    server.set_error_handler([](const httplib::Request&, httplib::Response& response) {
        if (!response.body.empty()) {
            return;
        }
        const int status = response.status;
        core::error failure{.code = core::error_code::not_found, .message = "no such path"};
        if (status == 413) {
            failure = {.code = core::error_code::payload_too_large, .message = "request body too large"};
        }
        else if (status != 404) {
            failure = {.code = core::error_code::invalid_argument, .message = "malformed request"};
        }
        traffic::write_error(response, failure, core::random_identifier());
    });
}

void router_node::schedule_budget_tick()
{
    this->budgets.tick();
    this->loads.tick();
    this->control.post_at(std::chrono::steady_clock::now() + budget_tick_interval,
                          [this] { this->schedule_budget_tick(); });
}

traffic::chat_services router_node::make_chat_services()
{
    const settings::traffic_settings& traffic = this->settings.traffic;
    return traffic::chat_services{
        .configuration = [this] { return this->configuration.current(); },
        .run_stream =
            [this](std::function<void()> work) { return this->stream_pool.submit(std::move(work)); },
        .begin_request = [this] { return this->requests.begin_request(); },
        .observe = [this](const traffic::request_outcome& outcome) { this->observe(outcome); },
        .grant_pool = &this->grant_pool,
        .memory = &this->memory,
        .attempts = {// A retry ranks upstreams by the current configuration, so that it excludes those that
                     // have started to leave since the request arrived.
                     .rank =
                         [this](const configuration::snapshot&, const routing::route_request& request) {
                             return this->routes.rank(*this->configuration.current(), request);
                         },
                     .report =
                         [this](const std::string& upstream, traffic::call_report report) {
                             this->routes.record_result(upstream, report);
                         },
                     .on_attempt =
                         [this](const routing::upstream_choice& target,
                                const routing::route_request& request) {
                             this->routes.record_request(target, request);
                         },
                     .gate = &this->loads.gate(),
                     .connections = &this->connections,
                     .watch = &this->watch,
                     .retries = &this->retries,
                     .first_byte_timeout = traffic.first_byte_timeout,
                     .gap_timeout = traffic.gap_timeout},
        .limits = {.default_output_tokens = traffic.default_output_tokens,
                   .maximum_output_tokens = traffic.maximum_output_tokens},
        .request_timeout = traffic.request_timeout,
        .reserve_timeout = traffic.reserve_timeout};
}

admin::admin_services router_node::make_admin_services()
{
    return admin::admin_services{
        .editor = configuration::editor(
            this->platform.make_object_store(), this->settings.shards.lists,
            {.stored = [this](const std::string& key) { return this->configuration.stored(key); },
             .current =
                 [this] {
                     return this->configuration.current();
                 }}),
        .budgets =
            admin::budget_accounts(this->platform.make_object_store(), this->settings.shards.budget_ledgers),
        .configuration = [this] { return this->configuration.current(); },
        .status = [this] { return this->status(); },
        .fleet_status = [this] { return this->fleet.peers().fleet_status(); },
        .moves = [this] { return this->moves.report(); },
        .operators = this->settings.operators};
}

metric_sources router_node::make_metric_sources()
{
    return metric_sources{
        .streams_open = [this] { return this->loads.gate().total_in_flight(); },
        .reader_buffer_bytes = [this] { return static_cast<std::int64_t>(this->memory.held()); },
        .budget_summary = [this](const std::string& plan) { return this->grant_pool.summary(plan); },
        .budget_free =
            [this](const std::string& plan) {
                return this->grant_pool.free(plan);
            }};
}

Json::Value router_node::status() const
{
    Json::Value json(Json::objectValue);
    json["node"] = this->settings.node.id;
    json["incarnation"] = this->incarnation;
    json["availability_zone"] = this->settings.node.availability_zone;
    json["version"] = SAMPHIREWAY_VERSION;
    json["reader_bytes_held"] = static_cast<Json::UInt64>(this->memory.held());
    json["reader_bytes_peak"] = static_cast<Json::UInt64>(this->memory.peak());
    json["draining"] = this->is_stopping.load();
    json["configuration"] = this->fleet.status();
    json["generations"] = Json::Value(Json::objectValue);
    for (const auto& [key, generation] : this->configuration.current()->generations) {
        json["generations"][key] = static_cast<Json::UInt64>(generation);
    }
    return json;
}

void router_node::observe(const traffic::request_outcome& outcome)
{
    this->metrics.observe(outcome);
    this->moves.observe(outcome);
    const bool is_failure = outcome.failure.has_value();
    core::log_event(is_failure ? core::log_level::info : core::log_level::debug, "request_ended",
                    {{"request_id", outcome.request_id},
                     {"workspace", outcome.workspace},
                     {"plan", outcome.plan},
                     {"model", outcome.model},
                     {"upstream", outcome.upstream},
                     {"version", outcome.version},
                     {"verdict", core::to_string(outcome.run)},
                     {"code", is_failure ? core::to_string(outcome.failure->code) : "ok"},
                     {"attempts", outcome.attempts},
                     {"billed_tokens", outcome.billed_tokens},
                     {"total_us", outcome.total.count()}});
}

} // namespace samphireway::node
