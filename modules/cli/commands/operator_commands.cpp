#include "cli/application/application.h"
#include "cli/commands/admin_client.h"
#include "cli/commands/commands.h"

#include <charconv>
#include <fstream>
#include <iostream>
#include <sstream>

namespace samphireway::cli {

namespace {

/**
    Parses the arguments of an operator command. When help was requested or the arguments are invalid,
    prints the help or the error, sets `exit_code` and returns nothing.
*/
std::optional<parsed_arguments> parse_operator_command(const std::string& usage, std::vector<option> options,
                                                       const std::vector<std::string>& arguments,
                                                       int& exit_code)
{
    for (const option& entry : connection_options()) {
        options.push_back(entry);
    }
    core::result<parsed_arguments> parsed = parse_command_line(usage, options, arguments);
    if (!parsed) {
        exit_code = report_bad_arguments(parsed.error().message);
        return std::nullopt;
    }
    if (parsed->is_help_requested) {
        std::cout << parsed->help_text;
        exit_code = exit_success;
        return std::nullopt;
    }
    return std::move(*parsed);
}

core::result<std::string> read_file(const std::string& file)
{
    std::ifstream stream(file);
    if (!stream) {
        return core::failure(core::error_code::not_found, file + ": cannot read the file");
    }
    std::ostringstream content;
    content << stream.rdbuf();
    return content.str();
}

int edit_entry(const parsed_arguments& parsed, const std::string& path)
{
    const std::string& action = parsed.positional[0];
    if (action == "show") {
        return print_answer(parsed, call_admin_api(parsed, {.method = "GET", .path = path}));
    }
    if (action == "remove") {
        return print_answer(
            parsed,
            call_admin_api(parsed, {.method = "DELETE", .path = path, .if_match = parsed.value("if-match")}));
    }
    if (action != "set" || !parsed.has("file")) {
        return report_bad_arguments("expected show, remove, or set with --file");
    }
    const core::result<std::string> body = read_file(parsed.value("file"));
    if (!body) {
        return report_bad_arguments(body.error().message);
    }
    return print_answer(
        parsed,
        call_admin_api(parsed,
                       {.method = "PUT", .path = path, .body = *body, .if_match = parsed.value("if-match")}));
}

int list_entries(const parsed_arguments& parsed, const std::string& list)
{
    const std::string query = "?limit=" + parsed.value("limit", "100") + "&after=" + parsed.value("after");
    return print_answer(parsed,
                        call_admin_api(parsed, {.method = "GET", .path = "/admin/v1/" + list + query}));
}

/** Adds the options of the `list` action. */
void add_page_options(std::vector<option>& options)
{
    options.push_back(
        option{.name = "after", .help = "for list: last id of the previous page", .value_name = "ID"});
    options.push_back(
        option{.name = "limit", .help = "for list: entries per page, 1 to 1000", .value_name = "N"});
}

int run_list_command(const std::string& usage, const std::string& list,
                     const std::vector<std::string>& arguments)
{
    int exit_code = exit_success;
    std::vector<option> options{
        option{.name = "file", .help = "for set: file with the JSON of the entry", .value_name = "FILE"},
        option{.name = "if-match", .help = "generation the edit is based on", .value_name = "N"}};
    add_page_options(options);
    const std::optional<parsed_arguments> parsed =
        parse_operator_command(usage, options, arguments, exit_code);
    if (!parsed) {
        return exit_code;
    }
    if (parsed->positional == std::vector<std::string>{"list"}) {
        return list_entries(*parsed, list);
    }
    if (parsed->positional.size() != 2) {
        return report_bad_arguments("expected " + usage);
    }
    return edit_entry(*parsed, "/admin/v1/" + list + "/" + parsed->positional[1]);
}

int create_plan(const parsed_arguments& parsed, const std::string& plan)
{
    if (!parsed.has("workspace") || !parsed.has("caller-key")) {
        return report_bad_arguments("create requires --workspace and --caller-key");
    }
    Json::Value body(Json::objectValue);
    body["workspace"] = parsed.value("workspace");
    body["key_hashes"].append(core::sha256_hex(parsed.value("caller-key")));
    return print_answer(parsed, call_admin_api(parsed, {.method = "PUT",
                                                        .path = "/admin/v1/plans/" + plan,
                                                        .body = core::write_json(body),
                                                        .must_not_exist = true}));
}

/** Adds a caller key to a plan or removes one. Fails when the plan's entry changes in the meantime. */
int change_keys(const parsed_arguments& parsed, const std::string& plan, bool is_addition)
{
    if (!parsed.has("caller-key")) {
        return report_bad_arguments("add-key and remove-key require --caller-key");
    }
    const std::string path = "/admin/v1/plans/" + plan;
    std::string generation;
    core::result<Json::Value> entry =
        call_admin_api(parsed, {.method = "GET", .path = path, .etag = &generation});
    if (!entry) {
        return print_answer(parsed, entry);
    }
    const std::string hash = core::sha256_hex(parsed.value("caller-key"));
    Json::Value hashes(Json::arrayValue);
    for (const Json::Value& known : (*entry)["key_hashes"]) {
        if (known.asString() != hash) {
            hashes.append(known);
        }
    }
    if (is_addition) {
        hashes.append(hash);
    }
    (*entry)["key_hashes"] = hashes;
    return print_answer(parsed, call_admin_api(parsed, {.method = "PUT",
                                                        .path = path,
                                                        .body = core::write_json(*entry),
                                                        .if_match = generation}));
}

std::optional<std::int64_t> parse_tokens(const std::string& text)
{
    std::int64_t tokens = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), tokens);
    const bool is_valid = error == std::errc{} && end == text.data() + text.size() && tokens >= 0;
    return is_valid ? std::optional<std::int64_t>(tokens) : std::nullopt;
}

/** Adds a deposit to a plan's budget or reduces the budget; `list` is `deposits` or `reductions`. */
int change_limit(const parsed_arguments& parsed, const std::string& plan, const std::string& list)
{
    const std::optional<std::int64_t> tokens = parse_tokens(parsed.value("amount"));
    if (!tokens || *tokens == 0 || !parsed.has("id")) {
        return report_bad_arguments(parsed.positional[0] +
                                    " requires --id and --amount, a number of tokens above zero");
    }
    Json::Value body(Json::objectValue);
    body["id"] = parsed.value("id");
    body["amount"] = static_cast<Json::Int64>(*tokens);
    return print_answer(parsed, call_admin_api(parsed, {.method = "POST",
                                                        .path = "/admin/v1/plans/" + plan + "/" + list,
                                                        .body = core::write_json(body)}));
}

int settle_in_doubt(const parsed_arguments& parsed, const std::string& plan, const std::string& holder)
{
    Json::Value body(Json::objectValue);
    if (parsed.has("charge")) {
        const std::optional<std::int64_t> tokens = parse_tokens(parsed.value("charge"));
        if (!tokens) {
            return report_bad_arguments("--charge: expected a number of tokens");
        }
        body["charge"] = static_cast<Json::Int64>(*tokens);
    }
    return print_answer(parsed,
                        call_admin_api(parsed, {.method = "POST",
                                                .path = "/admin/v1/plans/" + plan + "/in-doubt/" + holder,
                                                .body = core::write_json(body)}));
}

/**
    Removes a plan from the list, so that its callers are refused, and then removes its budget account.
*/
int remove_plan(const parsed_arguments& parsed, const std::string& plan)
{
    const std::string path = "/admin/v1/plans/" + plan;
    const int outcome = edit_entry(parsed, path);
    if (outcome != exit_success) {
        return outcome;
    }
    const core::result<Json::Value> removed =
        call_admin_api(parsed, {.method = "DELETE", .path = path + "/budget"});
    if (!removed) {
        std::cerr << "samphireway: the plan was removed, but its budget account was not: "
                  << removed.error().message << '\n';
    }
    return exit_success;
}

} // namespace

int run_plan(const std::vector<std::string>& arguments)
{
    const std::string usage =
        "samphireway plan create|show|budget|deposit|reduce|add-key|remove-key|in-doubt|remove PLAN, "
        "samphireway plan settle-in-doubt PLAN HOLDER, or samphireway plan list";
    int exit_code = exit_success;
    const std::optional<parsed_arguments> parsed = parse_operator_command(
        usage,
        {option{.name = "if-match", .help = "generation the edit is based on", .value_name = "N"},
         option{.name = "after", .help = "for list: last id of the previous page", .value_name = "ID"},
         option{.name = "limit", .help = "for list: entries per page, 1 to 1000", .value_name = "N"},
         option{.name = "workspace", .help = "workspace of a new plan", .value_name = "ID"},
         option{.name = "caller-key", .help = "secret of a caller key", .value_name = "SECRET"},
         option{.name = "id",
                .help = "id of a deposit or reduction; a repeated id counts once",
                .value_name = "ID"},
         option{.name = "amount", .help = "tokens to deposit or to reduce by", .value_name = "TOKENS"},
         option{.name = "charge",
                .help =
                    "for settle-in-doubt: tokens to charge for a holder that has ended; default all in doubt",
                .value_name = "TOKENS"},
         option{
             .name = "all", .help = "for in-doubt: also list holders that wrote recently", .is_flag = true}},
        arguments, exit_code);
    if (!parsed) {
        return exit_code;
    }
    if (parsed->positional == std::vector<std::string>{"list"}) {
        return list_entries(*parsed, "plans");
    }
    const bool has_holder = !parsed->positional.empty() && parsed->positional[0] == "settle-in-doubt";
    if (parsed->positional.size() != (has_holder ? 3U : 2U)) {
        return report_bad_arguments("expected " + usage);
    }
    const std::string& action = parsed->positional[0];
    const std::string& plan = parsed->positional[1];
    const std::string path = "/admin/v1/plans/" + plan;
    if (action == "create") {
        return create_plan(*parsed, plan);
    }
    if (action == "deposit" || action == "reduce") {
        return change_limit(*parsed, plan, action == "deposit" ? "deposits" : "reductions");
    }
    if (action == "budget") {
        return print_answer(*parsed, call_admin_api(*parsed, {.method = "GET", .path = path + "/budget"}));
    }
    if (action == "add-key" || action == "remove-key") {
        return change_keys(*parsed, plan, action == "add-key");
    }
    if (action == "in-doubt") {
        const std::string query = parsed->has("all") ? "?all=true" : "";
        return print_answer(*parsed,
                            call_admin_api(*parsed, {.method = "GET", .path = path + "/in-doubt" + query}));
    }
    if (has_holder) {
        return settle_in_doubt(*parsed, plan, parsed->positional[2]);
    }
    if (action == "remove") {
        return remove_plan(*parsed, plan);
    }
    if (action == "show") {
        return edit_entry(*parsed, path);
    }
    return report_bad_arguments("unknown action " + action);
}

int run_access(const std::vector<std::string>& arguments)
{
    return run_list_command("samphireway access set|show|remove PLAN, or access list", "access", arguments);
}

int run_upstream(const std::vector<std::string>& arguments)
{
    return run_list_command("samphireway upstream set|show|remove ID, or upstream list", "upstreams",
                            arguments);
}

int run_status(const std::vector<std::string>& arguments)
{
    int exit_code = exit_success;
    const std::optional<parsed_arguments> parsed = parse_operator_command(
        "samphireway status [--fleet]",
        {option{.name = "fleet",
                .help = "show which nodes of the fleet lag behind in configuration, and why",
                .is_flag = true}},
        arguments, exit_code);
    if (!parsed) {
        return exit_code;
    }
    if (!parsed->positional.empty()) {
        return report_bad_arguments("status takes no positional arguments");
    }
    const std::string path = parsed->has("fleet") ? "/admin/v1/fleet" : "/admin/v1/status";
    return print_answer(*parsed, call_admin_api(*parsed, {.method = "GET", .path = path}));
}

} // namespace samphireway::cli
