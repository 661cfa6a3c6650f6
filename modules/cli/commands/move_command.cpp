#include "cli/application/application.h"
#include "cli/commands/admin_client.h"
#include "cli/commands/commands.h"

#include <ctime>
#include <iostream>
#include <optional>

namespace samphireway::cli {

namespace {

constexpr const char* usage = "samphireway move start|show|list|abort|hour [MOVE]";
constexpr const char* moves_path = "/admin/v1/moves";

/**
    Parses a UTC time such as 2026-12-04T18:00:00Z and returns it in milliseconds since the Unix epoch.
*/
std::optional<std::int64_t> parse_utc_time(const std::string& text)
{
    std::tm parts{};
    const char* end = strptime(text.c_str(), "%Y-%m-%dT%H:%M:%SZ", &parts);
    if (end == nullptr || *end != '\0') {
        return std::nullopt;
    }
    constexpr std::int64_t milliseconds_per_second = 1000;
    return static_cast<std::int64_t>(timegm(&parts)) * milliseconds_per_second;
}

core::result<Json::Value> read_move(const parsed_arguments& parsed, const std::string& path)
{
    return call_admin_api(parsed, {.method = "GET", .path = path});
}

int put_move(const parsed_arguments& parsed, const std::string& path, const Json::Value& body)
{
    return print_answer(parsed, call_admin_api(parsed, {.method = "PUT",
                                                        .path = path,
                                                        .body = core::write_json(body),
                                                        .if_match = parsed.value("if-match")}));
}

/** Starts a move. When a move with this id exists, restarts it with the next generation. */
int start_move(const parsed_arguments& parsed, const std::string& id)
{
    const std::optional<std::int64_t> deadline = parse_utc_time(parsed.value("hour"));
    if (!deadline || !parsed.has("model") || !parsed.has("from") || !parsed.has("to")) {
        return report_bad_arguments(
            "start requires --model, --from, --to and --hour, such as --hour=2026-12-04T18:00:00Z");
    }
    const core::result<Json::Value> all = read_move(parsed, moves_path);
    if (!all) {
        return print_answer(parsed, all);
    }
    const Json::Value& stored_move = (*all)[id];
    const std::int64_t generation =
        stored_move.isObject() ? core::integer_member(stored_move, "generation") : 0;
    Json::Value body(Json::objectValue);
    body["model"] = parsed.value("model");
    body["from_version"] = parsed.value("from");
    body["to_version"] = parsed.value("to");
    body["deadline_unix_ms"] = static_cast<Json::Int64>(*deadline);
    body["generation"] = static_cast<Json::Int64>(generation + 1);
    return put_move(parsed, std::string(moves_path) + "/" + id, body);
}

int change_move(const parsed_arguments& parsed, const std::string& id, const std::string& action)
{
    const std::string path = std::string(moves_path) + "/" + id;
    const std::optional<std::int64_t> deadline = parse_utc_time(parsed.value("hour"));
    if (action == "hour" && !deadline) {
        return report_bad_arguments("hour requires --hour, such as --hour=2026-12-04T18:00:00Z");
    }
    core::result<Json::Value> stored_move = read_move(parsed, path);
    if (!stored_move) {
        return print_answer(parsed, stored_move);
    }
    if (action == "abort") {
        (*stored_move)["aborted"] = true;
    }
    else {
        (*stored_move)["deadline_unix_ms"] = static_cast<Json::Int64>(*deadline);
    }
    return put_move(parsed, path, *stored_move);
}

int show_move(const parsed_arguments& parsed, const std::string& id)
{
    const core::result<Json::Value> all = read_move(parsed, moves_path);
    if (all && !all->isMember(id)) {
        return print_answer(parsed, core::failure(core::error_code::not_found, "no such move"));
    }
    return print_answer(parsed, all ? core::result<Json::Value>((*all)[id]) : all);
}

} // namespace

int run_move(const std::vector<std::string>& arguments)
{
    std::vector<option> options = connection_options();
    options.push_back(option{.name = "model", .help = "model to move", .value_name = "MODEL"});
    options.push_back(
        option{.name = "from", .help = "version that serves the model now", .value_name = "VERSION"});
    options.push_back(option{.name = "to", .help = "new version", .value_name = "VERSION"});
    options.push_back(
        option{.name = "if-match", .help = "generation the edit is based on", .value_name = "N"});
    options.push_back(option{.name = "hour",
                             .help = "deadline of the move in UTC, such as 2026-12-04T18:00:00Z",
                             .value_name = "TIME"});
    const core::result<parsed_arguments> parsed = parse_command_line(usage, options, arguments);
    if (!parsed) {
        return report_bad_arguments(parsed.error().message);
    }
    if (parsed->is_help_requested) {
        std::cout << parsed->help_text;
        return exit_success;
    }
    const std::string action = parsed->positional.empty() ? "" : parsed->positional.front();
    if (action == "list" && parsed->positional.size() == 1) {
        return print_answer(*parsed, read_move(*parsed, moves_path));
    }
    if (parsed->positional.size() != 2) {
        return report_bad_arguments(std::string("expected ") + usage);
    }
    const std::string& id = parsed->positional.at(1);
    if (action == "start") {
        return start_move(*parsed, id);
    }
    if (action == "show") {
        return show_move(*parsed, id);
    }
    if (action == "abort" || action == "hour") {
        return change_move(*parsed, id, action);
    }
    return report_bad_arguments("unknown action " + action);
}

} // namespace samphireway::cli
