#include "platform/platform_standin.h"

#include <algorithm>
#include <thread>

namespace samphireway::standin {

namespace {

constexpr const char* json_type = "application/json";
constexpr int status_gateway_timeout = 504;
constexpr std::size_t maximum_value_bytes = 1U << 20U;
constexpr std::size_t maximum_threads = 1024;
constexpr std::chrono::milliseconds fault_poll_interval{50};

Json::Value initial_faults()
{
    Json::Value faults(Json::objectValue);
    faults["outage"] = false;
    faults["silent"] = false;
    faults["delay_ms"] = 0;
    faults["lose_answers"] = 0;
    faults["rate_limited"] = 0;
    faults["silent_watch"] = false;
    faults["reads_per_second"] = 0;
    faults["writes_per_second"] = 0;
    faults["vms_lag_ms"] = 0;
    return faults;
}

std::string to_text(const text_batch& batch)
{
    std::string text = "{\"objects\":[";
    for (const std::string& object : batch.objects) {
        text.append(text.ends_with('[') ? "" : ",").append(object);
    }
    return text + "],\"revision\":" + std::to_string(batch.revision) + "}";
}

std::uint64_t parse_number(const std::string& text)
{
    return text.empty() ? 0 : std::strtoull(text.c_str(), nullptr, 10);
}

void answer(httplib::Response& response, const text_put_outcome& outcome)
{
    constexpr int status_conflict = 412;
    if (outcome.applied) {
        response.set_content("{\"version\":" + std::to_string(outcome.version) + "}", json_type);
        return;
    }
    response.status = status_conflict;
    response.set_content(outcome.current.value_or("{}"), json_type);
}

} // namespace

platform_standin::platform_standin(platform_standin_options options_to_use)
    : options(std::move(options_to_use))
{
    for (int index = 0; index < this->options.endpoint_count; ++index) {
        platform_endpoint endpoint;
        endpoint.faults = std::make_unique<fault_switch>(initial_faults());
        endpoint.server = std::make_unique<traffic::front_server>(
            traffic::front_server_options{.address = this->options.address,
                                          .port = this->options.port + index,
                                          .maximum_threads = maximum_threads,
                                          .tls_certificate_file = {},
                                          .tls_key_file = {}});
        this->endpoints.push_back(std::move(endpoint));
    }
}

core::result<void> platform_standin::start()
{
    for (platform_endpoint& endpoint : this->endpoints) {
        this->add_routes(endpoint);
        const core::result<void> started = endpoint.server->start();
        if (!started) {
            return started;
        }
    }
    return {};
}

bool platform_standin::apply_faults(const platform_endpoint& endpoint, httplib::Response& response)
{
    const std::int64_t delay = endpoint.faults->number("delay_ms");
    if (delay > 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(delay));
    }
    while (endpoint.faults->is_on("silent")) {
        std::this_thread::sleep_for(fault_poll_interval);
    }
    if (endpoint.faults->is_on("outage")) {
        response.status = 503;
        return false;
    }
    if (endpoint.faults->consume("rate_limited")) {
        response.status = 429;
        return false;
    }
    return true;
}

bool platform_standin::admit(const platform_endpoint& endpoint, bool is_write, httplib::Response& response)
{
    ++(is_write ? this->writes : this->reads);
    rate_limit& limit = is_write ? this->write_limit : this->read_limit;
    std::int64_t rate = 0;
    for (const platform_endpoint& other : this->endpoints) {
        rate = std::max(rate, other.faults->number(is_write ? "writes_per_second" : "reads_per_second"));
    }
    if (!limit.try_take(rate, std::chrono::steady_clock::now())) {
        ++this->refused;
        response.status = 429;
        return false;
    }
    return this->apply_faults(endpoint, response);
}

void platform_standin::add_routes(platform_endpoint& endpoint)
{
    httplib::Server& server = endpoint.server->server();
    endpoint.faults->add_routes(server);
    this->add_read_routes(endpoint, server);
    this->add_list_routes(endpoint, server);
    this->add_write_routes(endpoint, server);
    this->add_control_routes(server);
}

void platform_standin::add_read_routes(platform_endpoint& endpoint, httplib::Server& server)
{
    server.Get("/objects/(.+)",
               [this, &endpoint](const httplib::Request& request, httplib::Response& response) {
                   if (!this->admit(endpoint, false, response)) {
                       return;
                   }
                   const std::optional<std::string> found = this->objects.get(request.matches[1].str());
                   if (!found) {
                       response.status = 404;
                       response.set_content("{}", json_type);
                       return;
                   }
                   response.set_content(*found, json_type);
               });
    server.Get("/objects", [this, &endpoint](const httplib::Request& request, httplib::Response& response) {
        if (this->admit(endpoint, false, response)) {
            const text_batch batch = this->objects.list(request.get_param_value("prefix"), 0);
            response.set_content(to_text(batch), json_type);
        }
    });
}

void platform_standin::add_list_routes(platform_endpoint& endpoint, httplib::Server& server)
{
    server.Get("/watch", [this, &endpoint](const httplib::Request& request, httplib::Response& response) {
        ++this->watches;
        if (!this->admit(endpoint, false, response)) {
            return;
        }
        ++this->waiting_watches;
        const core::steady_time deadline =
            std::chrono::steady_clock::now() +
            std::chrono::milliseconds(parse_number(request.get_param_value("timeout_ms")));
        const text_batch batch = this->objects.watch(
            request.get_param_value("prefix"), parse_number(request.get_param_value("after")), deadline);
        --this->waiting_watches;
        while (endpoint.faults->is_on("silent_watch")) {
            std::this_thread::sleep_for(fault_poll_interval);
        }
        // Faults that were switched on during the wait apply to the response.
        if (this->apply_faults(endpoint, response)) {
            response.set_content(to_text(batch), json_type);
        }
    });
    server.Get("/vms", [this, &endpoint](const httplib::Request&, httplib::Response& response) {
        if (this->admit(endpoint, false, response)) {
            const std::chrono::milliseconds lag(endpoint.faults->number("vms_lag_ms"));
            const Json::Value list = this->vms.read(lag, std::chrono::steady_clock::now());
            response.set_content(core::write_json(list), json_type);
        }
    });
}

void platform_standin::add_write_routes(platform_endpoint& endpoint, httplib::Server& server)
{
    const auto write = [this, &endpoint](const httplib::Request& request, httplib::Response& response,
                                         bool is_put) {
        if (!this->admit(endpoint, true, response)) {
            return;
        }
        const std::string key = request.matches[1].str();
        const platform::object_version expected = parse_number(request.get_header_value("If-Match"));
        const core::result<Json::Value> value = is_put ? core::parse_json(request.body) : Json::Value();
        if (!value || request.body.size() > maximum_value_bytes) {
            response.status = 400;
            response.set_content("{}", json_type);
            return;
        }
        const text_put_outcome outcome =
            is_put ? this->objects.put(key, *value, expected) : this->objects.remove(key, expected);
        if (outcome.applied && endpoint.faults->consume("lose_answers")) {
            response.status = status_gateway_timeout;
            return;
        }
        answer(response, outcome);
    };
    server.Put("/objects/(.+)", [write](const httplib::Request& request, httplib::Response& response) {
        write(request, response, true);
    });
    server.Delete("/objects/(.+)", [write](const httplib::Request& request, httplib::Response& response) {
        write(request, response, false);
    });
}

void platform_standin::add_control_routes(httplib::Server& server)
{
    server.Get("/counters", [this](const httplib::Request&, httplib::Response& response) {
        Json::Value json(Json::objectValue);
        json["reads"] = static_cast<Json::UInt64>(this->reads.load());
        json["writes"] = static_cast<Json::UInt64>(this->writes.load());
        json["watches"] = static_cast<Json::UInt64>(this->watches.load());
        json["waiting_watches"] = static_cast<Json::UInt64>(this->waiting_watches.load());
        json["refused"] = static_cast<Json::UInt64>(this->refused.load());
        response.set_content(core::write_json(json), json_type);
    });
    server.Put("/vms", [this](const httplib::Request& request, httplib::Response& response) {
        core::result<Json::Value> list = core::parse_json(request.body);
        if (!list || !list->isArray()) {
            response.status = 400;
            return;
        }
        this->vms.set(std::move(*list), std::chrono::steady_clock::now());
        response.set_content("{}", json_type);
    });
}

} // namespace samphireway::standin
