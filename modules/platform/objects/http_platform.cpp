#include "platform/objects/http_platform.h"

#include "platform/objects/http_call_pool.h"
#include "platform/objects/request_target.h"

#include <algorithm>
#include <httplib.h>

namespace samphireway::platform {

namespace {

constexpr int status_conflict = 412;
constexpr int status_not_found = 404;
constexpr int status_ok = 200;
constexpr int status_too_many_requests = 429;

object parse_object(const Json::Value& json)
{
    object parsed;
    parsed.key = core::string_member(json, "key");
    parsed.version = static_cast<object_version>(core::integer_member(json, "version"));
    parsed.value = json["value"];
    return parsed;
}

watch_batch parse_batch(const Json::Value& json)
{
    watch_batch batch;
    batch.revision = static_cast<object_version>(core::integer_member(json, "revision"));
    for (const Json::Value& entry : json["objects"]) {
        batch.changed.push_back(parse_object(entry));
    }
    return batch;
}

std::string_view call_kind(const httplib::Request& request)
{
    if (request.method == "PUT") {
        return "put";
    }
    if (request.method == "DELETE") {
        return "remove";
    }
    if (request.path.starts_with("/objects?")) {
        return "list";
    }
    if (request.path.starts_with("/watch")) {
        return "watch";
    }
    return request.path == "/vms" ? "vms" : "get";
}

} // namespace

class http_platform::implementation {
public:
    explicit implementation(http_platform_options options_to_use)
        : options(std::move(options_to_use)),
          calls(http_call_pool_options{.address = this->options.address,
                                       .port = this->options.port,
                                       .connect_timeout = this->options.call_timeout})
    {
    }

    core::result<httplib::Response> send(const httplib::Request& request, std::chrono::milliseconds timeout)
    {
        core::result<httplib::Response> response = this->calls.send(request, timeout);
        this->options.on_call(call_kind(request), !response || response->status >= status_too_many_requests);
        if (!response) {
            return response;
        }
        if (response->status == status_too_many_requests) {
            return core::failure(core::error_code::rate_limited,
                                 "platform refused the call: rate limit exceeded");
        }
        if (response->status >= 500) {
            return core::failure(core::error_code::platform_unavailable,
                                 "platform returned HTTP status " + std::to_string(response->status),
                                 core::verdict::may_have_run);
        }
        return response;
    }

    core::result<Json::Value> send_json(const httplib::Request& request, std::chrono::milliseconds timeout)
    {
        core::result<httplib::Response> response = this->send(request, timeout);
        if (!response) {
            return tl::unexpected(response.error());
        }
        if (response->status != status_ok) {
            return core::failure(core::error_code::platform_unavailable,
                                 "platform returned HTTP status " + std::to_string(response->status));
        }
        return core::parse_json(response->body);
    }

    core::result<object_reading> get(const std::string& key)
    {
        httplib::Request request;
        request.method = "GET";
        request.path = "/objects/" + encode_path(key);
        core::result<httplib::Response> response = this->send(request, this->options.call_timeout);
        if (!response) {
            return tl::unexpected(response.error());
        }
        if (response->status == status_not_found) {
            return object_reading{};
        }
        core::result<Json::Value> json = core::parse_json(response->body);
        if (!json) {
            return tl::unexpected(json.error());
        }
        return object_reading{.found = parse_object(*json)};
    }

    core::result<put_outcome> write(httplib::Request request, const std::string& key, object_version expected)
    {
        request.path = "/objects/" + encode_path(key);
        if (expected == 0) {
            request.set_header("If-None-Match", "*");
        }
        else {
            request.set_header("If-Match", std::to_string(expected));
        }
        core::result<httplib::Response> response = this->send(request, this->options.call_timeout);
        if (!response) {
            return tl::unexpected(response.error());
        }
        core::result<Json::Value> json = core::parse_json(response->body);
        if (!json) {
            return core::failure(core::error_code::platform_unavailable, json.error().message,
                                 core::verdict::may_have_run);
        }
        put_outcome outcome;
        if (response->status == status_ok) {
            outcome.applied = true;
            outcome.version = static_cast<object_version>(core::integer_member(*json, "version"));
            return outcome;
        }
        if (response->status != status_conflict) {
            return core::failure(core::error_code::platform_unavailable,
                                 "platform returned HTTP status " + std::to_string(response->status));
        }
        if (json->isMember("version")) {
            outcome.current = parse_object(*json);
        }
        return outcome;
    }

    core::result<put_outcome> put(const std::string& key, const Json::Value& value, object_version expected)
    {
        httplib::Request request;
        request.method = "PUT";
        request.body = core::write_json(value);
        request.set_header("Content-Type", "application/json");
        return this->write(std::move(request), key, expected);
    }

    core::result<put_outcome> remove(const std::string& key, object_version expected)
    {
        httplib::Request request;
        request.method = "DELETE";
        return this->write(std::move(request), key, expected);
    }

    core::result<watch_batch> list(const std::string& prefix)
    {
        httplib::Request request;
        request.method = "GET";
        request.path = "/objects?prefix=" + encode_component(prefix);
        core::result<Json::Value> json = this->send_json(request, this->options.call_timeout);
        if (!json) {
            return tl::unexpected(json.error());
        }
        return parse_batch(*json);
    }

    core::result<watch_batch> watch(const std::string& prefix, object_version after,
                                    core::steady_time deadline)
    {
        using std::chrono::milliseconds;
        const auto remaining =
            std::chrono::duration_cast<milliseconds>(deadline - std::chrono::steady_clock::now());
        const milliseconds wait = std::max(remaining, milliseconds(0));
        httplib::Request request;
        request.method = "GET";
        request.path = "/watch?prefix=" + encode_component(prefix) + "&after=" + std::to_string(after) +
                       "&timeout_ms=" + std::to_string(wait.count());
        core::result<Json::Value> json = this->send_json(request, wait + this->options.call_timeout);
        if (!json) {
            return tl::unexpected(json.error());
        }
        return parse_batch(*json);
    }

    core::result<vm_list_reading> read_vms()
    {
        httplib::Request request;
        request.method = "GET";
        request.path = "/vms";
        core::result<Json::Value> json = this->send_json(request, this->options.call_timeout);
        if (!json) {
            return tl::unexpected(json.error());
        }
        vm_list_reading reading;
        reading.revision = static_cast<std::uint64_t>(core::integer_member(*json, "revision"));
        for (const Json::Value& entry : (*json)["vms"]) {
            const bool leaving = core::string_member(entry, "state") == "leaving";
            reading.vms.push_back(vm{.id = core::string_member(entry, "id"),
                                     .role = core::string_member(entry, "role"),
                                     .address = core::string_member(entry, "address"),
                                     .availability_zone = core::string_member(entry, "availability_zone"),
                                     .state = leaving ? vm_state::leaving : vm_state::live});
        }
        return reading;
    }

    void interrupt()
    {
        this->calls.interrupt();
    }

private:
    const http_platform_options options;
    http_call_pool calls;
};

http_platform::http_platform(http_platform_options options)
    : state(std::make_unique<implementation>(std::move(options)))
{
}

http_platform::~http_platform() = default;

void http_platform::interrupt()
{
    this->state->interrupt();
}

object_store http_platform::make_object_store()
{
    implementation* target = this->state.get();
    return object_store{
        .get = [target](const std::string& key) { return target->get(key); },
        .put = [target](const std::string& key, const Json::Value& value,
                        object_version expected) { return target->put(key, value, expected); },
        .remove = [target](const std::string& key,
                           object_version expected) { return target->remove(key, expected); },
        .list = [target](const std::string& prefix) { return target->list(prefix); },
        .watch = [target](const std::string& prefix, object_version after,
                          core::steady_time deadline) { return target->watch(prefix, after, deadline); },
    };
}

vm_list http_platform::make_vm_list()
{
    implementation* target = this->state.get();
    return [target] {
        return target->read_vms();
    };
}

} // namespace samphireway::platform
