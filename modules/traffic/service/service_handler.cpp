#include "traffic/service/service_handler.h"

#include "traffic/server/drain_gate.h"

#include <algorithm>

namespace samphireway::traffic {

namespace {

constexpr std::size_t maximum_idempotency_key_bytes = 256;

struct service_path {
    std::string service;
    std::string upstream_path;
};

core::result<service_path> parse_path(const std::string& path)
{
    constexpr std::string_view prefix = "/services/";
    const std::string service_and_path = path.substr(prefix.size());
    const std::size_t slash = service_and_path.find('/');
    const std::string service = service_and_path.substr(0, slash);
    const std::string upstream_path = slash == std::string::npos ? "/" : service_and_path.substr(slash);
    if (!configuration::is_valid_id(service) || upstream_path.find("..") != std::string::npos) {
        return core::failure(core::error_code::invalid_argument, "path: expected /services/<name>/<path>");
    }
    return service_path{.service = service, .upstream_path = upstream_path};
}

std::vector<const configuration::upstream*> list_services(const configuration::snapshot& configuration,
                                                          const std::string& plan, const std::string& service)
{
    std::vector<const configuration::upstream*> found;
    const std::vector<configuration::access_entry>* access = configuration.find_access(plan);
    const bool is_allowed =
        access != nullptr && std::any_of(access->begin(), access->end(),
                                         [&](const auto& entry) { return entry.model == service; });
    if (!is_allowed) {
        return found;
    }
    for (const auto& [id, upstream] : configuration.upstreams->upstreams) {
        if (upstream.service == service && !upstream.is_leaving) {
            found.push_back(&upstream);
        }
    }
    return found;
}

bool is_overload_status(int status)
{
    constexpr int too_many_requests = 429;
    constexpr int unavailable = 503;
    return status == too_many_requests || status == unavailable;
}

std::string query_of(const httplib::Request& request)
{
    const std::size_t mark = request.target.find('?');
    return mark == std::string::npos ? "" : request.target.substr(mark);
}

} // namespace

/** One call from its arrival to its answer. */
struct service_handler::service_exchange {
    std::shared_ptr<const configuration::snapshot> configuration;
    std::vector<const configuration::upstream*> upstreams;
    const httplib::Request* request = nullptr;
    std::string path;
    std::string workspace;
    std::string request_id;
    core::steady_time deadline;
};

bool is_idempotent_call(const configuration::upstream& upstream, const std::string& method,
                        const std::string& path)
{
    if (method != "POST") {
        return true;
    }
    return std::any_of(upstream.idempotent_prefixes.begin(), upstream.idempotent_prefixes.end(),
                       [&](const std::string& prefix) { return path.starts_with(prefix); });
}

service_handler::service_handler(service_handler_services services_to_use)
    : services(std::move(services_to_use))
{
}

void service_handler::handle(const httplib::Request& request, httplib::Response& response)
{
    const std::string request_id = request_id_of(request);
    core::result<service_answer> answer = this->forward(request, request_id);
    if (!answer) {
        write_error(response, answer.error(), request_id);
        return;
    }
    response.status = answer->status;
    response.set_header("X-Request-Id", request_id);
    response.set_header("X-Samphireway-Verdict", std::string(core::to_string(core::verdict::ran)));
    response.set_content(answer->body, answer->content_type);
}

core::result<service_answer> service_handler::forward(const httplib::Request& request,
                                                      const std::string& request_id)
{
    const std::shared_ptr<void> ticket = this->services.begin_request();
    if (!ticket) {
        return tl::unexpected(draining_failure());
    }
    service_exchange exchange{.configuration = this->services.configuration(),
                              .upstreams = {},
                              .request = &request,
                              .path = {},
                              .workspace = {},
                              .request_id = request_id,
                              .deadline = std::chrono::steady_clock::now() + this->services.request_timeout};
    const core::result<caller_identity> caller =
        authenticate(*exchange.configuration, request.get_header_value("Authorization"));
    if (!caller) {
        return tl::unexpected(caller.error());
    }
    exchange.workspace = caller->workspace;
    const core::result<service_path> path = parse_path(request.path);
    if (!path) {
        return tl::unexpected(path.error());
    }
    exchange.path = path->upstream_path + query_of(request);
    exchange.upstreams = list_services(*exchange.configuration, caller->plan, path->service);
    if (exchange.upstreams.empty()) {
        return core::failure(core::error_code::not_found, "the plan has no service " + path->service);
    }
    // A call may be repeated only if it is idempotent at every upstream that could serve it.
    const bool may_repeat = std::all_of(
        exchange.upstreams.begin(), exchange.upstreams.end(), [&](const configuration::upstream* upstream) {
            return is_idempotent_call(*upstream, request.method, path->upstream_path);
        });
    if (may_repeat) {
        return this->run_idempotent(exchange);
    }
    const std::string key = request.get_header_value("Idempotency-Key");
    if (key.empty() || key.size() > maximum_idempotency_key_bytes) {
        return core::failure(core::error_code::invalid_argument,
                             "Idempotency-Key: required for a call that may not be repeated, 1 to 256 bytes");
    }
    const std::string identity =
        request.method + "\n" + request.path + query_of(request) + "\n" + request.body;
    return this->run_at_most_once(
        exchange, {.workspace = caller->workspace, .key = key, .fingerprint = core::sha256_hex(identity)});
}

core::result<limits::slot> service_handler::admit(const service_exchange& exchange) const
{
    std::vector<std::string> ids;
    for (const configuration::upstream* upstream : exchange.upstreams) {
        ids.push_back(upstream->id);
    }
    limits::load_gate& gate = *this->services.attempts.gate;
    std::sort(ids.begin(), ids.end(), [&gate](const std::string& left, const std::string& right) {
        return gate.in_flight(left) < gate.in_flight(right);
    });
    const core::steady_time latest =
        std::chrono::steady_clock::now() + this->services.attempts.admission_timeout;
    return gate.admit(ids, {.workspace = exchange.workspace,
                            .priority = priority_of(*exchange.request),
                            .estimate = 0,
                            .deadline = std::min(latest, exchange.deadline)});
}

core::result<service_answer> service_handler::attempt(const service_exchange& exchange,
                                                      const limits::slot& slot,
                                                      bool needs_fresh_connection) const
{
    const auto chosen = std::find_if(exchange.upstreams.begin(), exchange.upstreams.end(),
                                     [&](const auto* upstream) { return upstream->id == slot.upstream(); });
    const core::steady_time now = std::chrono::steady_clock::now();
    core::result<service_answer> answer =
        call_service(*this->services.attempts.connections, *this->services.attempts.watch,
                     {.where = endpoint_of(**chosen),
                      .method = exchange.request->method,
                      .path = exchange.path,
                      .body = exchange.request->body,
                      .content_type = exchange.request->get_header_value("Content-Type"),
                      .request_id = exchange.request_id,
                      .needs_fresh_connection = needs_fresh_connection,
                      .may_send = [&slot] { return slot.may_send(); },
                      .first_byte_deadline = now + this->services.attempts.first_byte_timeout,
                      .gap_timeout = this->services.attempts.gap_timeout,
                      .deadline = exchange.deadline});
    if (answer && is_overload_status(answer->status)) {
        return tl::unexpected(status_failure(answer->status, answer->body));
    }
    return answer;
}

core::result<service_answer> service_handler::run_idempotent(service_exchange& exchange) const
{
    core::result<service_answer> answer = tl::unexpected(core::error{});
    core::verdict run = core::verdict::not_run;
    for (int attempt = 0; attempt < this->services.attempts.maximum_attempts; ++attempt) {
        const core::result<limits::slot> slot = this->admit(exchange);
        if (!slot) {
            return attempt == 0 ? tl::unexpected(slot.error()) : answer;
        }
        retry_budget& retries = *this->services.attempts.retries;
        if (attempt > 0 && !retries.spend(slot->upstream())) {
            return answer;
        }
        answer = this->attempt(exchange, *slot, false);
        if (answer) {
            retries.earn(slot->upstream());
            return answer;
        }
        run = std::max(run, answer.error().run);
        answer.error().run = run;
        const bool has_time = std::chrono::steady_clock::now() < exchange.deadline;
        if (!has_time || answer.error().code == core::error_code::draining) {
            return answer;
        }
        if (exchange.upstreams.size() > 1) {
            std::erase_if(exchange.upstreams,
                          [&](const auto* upstream) { return upstream->id == slot->upstream(); });
        }
    }
    return answer;
}

core::result<service_answer> service_handler::run_at_most_once(service_exchange& exchange,
                                                               const idempotent_call& call) const
{
    const idempotency_store& records = *this->services.records;
    core::result<std::optional<service_answer>> earlier = records.find(call);
    if (!earlier) {
        return tl::unexpected(earlier.error());
    }
    if (*earlier) {
        return std::move(**earlier);
    }
    const core::result<limits::slot> slot = this->admit(exchange);
    if (!slot) {
        return tl::unexpected(slot.error());
    }
    core::result<claim_outcome> claimed = records.claim(call);
    if (!claimed) {
        return tl::unexpected(claimed.error());
    }
    if (claimed->stored_answer) {
        return std::move(*claimed->stored_answer);
    }
    core::result<service_answer> answer = this->attempt(exchange, *slot, true);
    if (answer) {
        records.store_answer(*claimed->claim, *answer);
    }
    else if (answer.error().run == core::verdict::not_run) {
        records.release(*claimed->claim);
    }
    else {
        records.mark_unknown(*claimed->claim);
    }
    return answer;
}

} // namespace samphireway::traffic
