#include "cli/commands/admin_client.h"

#include "cli/application/application.h"

#include <cstdlib>
#include <httplib.h>
#include <iostream>

namespace samphireway::cli {

namespace {

constexpr const char* default_server = "http://127.0.0.1:8081";
constexpr const char* key_variable = "SAMPHIREWAY_OPERATOR_KEY";
constexpr int status_ok = 200;

std::string operator_key(const parsed_arguments& arguments)
{
    const char* from_environment = std::getenv(key_variable);
    return arguments.value("key", from_environment == nullptr ? "" : from_environment);
}

void print_indented(const Json::Value& json, const std::string& indent)
{
    if (!json.isObject()) {
        std::cout << indent << core::write_json(json) << '\n';
        return;
    }
    for (auto entry = json.begin(); entry != json.end(); ++entry) {
        if (entry->isObject() && !entry->empty()) {
            std::cout << indent << entry.name() << ":\n";
            print_indented(*entry, indent + "  ");
            continue;
        }
        std::cout << indent << entry.name() << ": "
                  << (entry->isString() ? entry->asString() : core::write_json(*entry)) << '\n';
    }
}

} // namespace

std::vector<option> connection_options()
{
    return {
        option{.name = "server",
               .help = "URL of the administration API, default http://127.0.0.1:8081",
               .value_name = "URL"},
        option{.name = "key", .help = "operator key, default $SAMPHIREWAY_OPERATOR_KEY", .value_name = "KEY"},
        option{.name = "idempotency-key",
               .help = "key of an earlier edit, to retry it without applying it twice",
               .value_name = "KEY"},
        option{.name = "json", .help = "print JSON on one line", .is_flag = true},
    };
}

core::result<Json::Value> call_admin_api(const parsed_arguments& arguments, const admin_call& call)
{
    httplib::Client client(arguments.value("server", default_server));
    client.set_connection_timeout(std::chrono::seconds(5));
    client.set_read_timeout(std::chrono::seconds(30));
    httplib::Request request;
    request.method = call.method;
    request.path = call.path;
    request.body = call.body;
    request.set_header("Content-Type", "application/json");
    request.set_header("Authorization", "Bearer " + operator_key(arguments));
    if (!call.if_match.empty()) {
        request.set_header("If-Match", call.if_match);
    }
    if (call.must_not_exist) {
        request.set_header("If-None-Match", "*");
    }
    const bool is_edit = call.method != "GET";
    if (is_edit) {
        request.set_header("Idempotency-Key", arguments.value("idempotency-key", core::random_identifier()));
    }
    httplib::Result result = client.send(request);
    if (!result && is_edit) {
        result = client.send(request);
    }
    if (!result) {
        return core::failure(core::error_code::internal,
                             "cannot reach the administration API: " + httplib::to_string(result.error()));
    }
    if (call.etag != nullptr) {
        *call.etag = result->get_header_value("ETag");
    }
    core::result<Json::Value> json = core::parse_json(result->body);
    if (result->status == status_ok) {
        return json;
    }
    std::string message = json ? core::string_member((*json)["error"], "message") : result->body;
    if (json && json->isMember("current")) {
        message += "\ncurrent entry: " + core::write_json((*json)["current"]);
        message += "\nchanges since: " + core::write_json((*json)["changes"]);
    }
    return core::failure(core::error_code::internal, std::to_string(result->status) + ": " + message);
}

int print_answer(const parsed_arguments& arguments, const core::result<Json::Value>& answer)
{
    if (!answer) {
        std::cerr << "samphireway: " << answer.error().message << '\n';
        return exit_failure;
    }
    if (arguments.has("json")) {
        std::cout << core::write_json(*answer) << '\n';
        return exit_success;
    }
    print_indented(*answer, "");
    return exit_success;
}

} // namespace samphireway::cli
