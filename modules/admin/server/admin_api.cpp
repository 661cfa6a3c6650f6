#include "admin/server/admin_api.h"

#include "admin/budgets/budget_routes.h"
#include "admin/server/admin_responses.h"
#include "admin/server/list_pages.h"

namespace samphireway::admin {

namespace {

constexpr const char* id_pattern = "([A-Za-z0-9_-]{1,64})";

/**
    Writes the response of a failed edit. For a conflict it contains the entry in force and the later
    edits.
*/
void write_conflict(httplib::Response& response, const configuration::edit_failure& failure)
{
    write_error(response, failure.cause);
    if (failure.in_force == 0) {
        return;
    }
    Json::Value json = *core::parse_json(response.body);
    json["current"] = failure.current;
    json["generation"] = static_cast<Json::UInt64>(failure.in_force);
    json["changes"] = failure.changes;
    response.set_header("ETag", "\"" + std::to_string(failure.in_force) + "\"");
    write_json(response, json);
}

Json::Value account_json(const std::string& plan, const escrow::account& account)
{
    Json::Value json(Json::objectValue);
    json["plan"] = plan;
    json["limit"] = static_cast<Json::Int64>(account.limit());
    json["spent"] = static_cast<Json::Int64>(account.spent());
    json["held"] = static_cast<Json::Int64>(account.outstanding());
    json["available"] = static_cast<Json::Int64>(account.available());
    Json::Value& holders = json["holders"] = Json::Value(Json::objectValue);
    for (const auto& [id, entry] : account.holders) {
        holders[id]["held"] = static_cast<Json::Int64>(entry.outstanding());
        holders[id]["spent"] = static_cast<Json::Int64>(entry.spent);
    }
    return json;
}

} // namespace

admin_api::admin_api(admin_services services_to_use)
    : services(std::move(services_to_use)), moves(this->make_move_services())
{
}

move_services admin_api::make_move_services()
{
    return {.editor = this->services.editor,
            .report = this->services.moves,
            .authorize =
                [this](const httplib::Request& request, httplib::Response& response, bool is_change) {
                    return this->authorize(request, response,
                                           is_change ? settings::operator_role::editor
                                                     : settings::operator_role::viewer);
                },
            .audit =
                [this](const httplib::Request& request, const std::string& outcome) {
                    this->audit(request, outcome);
                }};
}

void admin_api::add_routes(httplib::Server& server)
{
    const configuration::editor& editor = this->services.editor;
    this->add_list_routes(server, "plans",
                          [&editor](const std::string& id) { return editor.plan_location(id); });
    this->add_list_routes(server, "access",
                          [&editor](const std::string& id) { return editor.access_location(id); });
    this->add_list_routes(server, "upstreams",
                          [&editor](const std::string& id) { return editor.upstream_location(id); });
    this->add_budget_routes(server);
    add_page_routes(server, this->services.configuration,
                    [this](const httplib::Request& request, httplib::Response& response) {
                        return this->authorize(request, response, settings::operator_role::viewer);
                    });
    this->moves.add_routes(server);
    server.Get("/admin/v1/status", [this](const httplib::Request& request, httplib::Response& response) {
        if (this->authorize(request, response, settings::operator_role::viewer)) {
            write_json(response, this->services.status());
        }
    });
    server.Get("/admin/v1/fleet", [this](const httplib::Request& request, httplib::Response& response) {
        if (this->authorize(request, response, settings::operator_role::viewer)) {
            write_json(response, this->services.fleet_status());
        }
    });
}

void admin_api::add_list_routes(httplib::Server& server, const std::string& list, const entry_locator& locate)
{
    const std::string path = "/admin/v1/" + list + "/" + id_pattern;
    server.Get(path, [this, locate](const httplib::Request& request, httplib::Response& response) {
        this->read_entry(request, response, locate);
    });
    server.Put(path, [this, locate](const httplib::Request& request, httplib::Response& response) {
        this->write_entry(request, response, locate, false);
    });
    server.Delete(path, [this, locate](const httplib::Request& request, httplib::Response& response) {
        this->write_entry(request, response, locate, true);
    });
}

void admin_api::add_budget_routes(httplib::Server& server)
{
    const std::string plan_path = std::string("/admin/v1/plans/") + id_pattern;
    server.Get(plan_path + "/budget", [this](const httplib::Request& request, httplib::Response& response) {
        this->read_budget(request, response);
    });
    server.Post(plan_path + "/deposits",
                [this](const httplib::Request& request, httplib::Response& response) {
                    this->deposit(request, response);
                });
    add_account_routes(server,
                       {.budgets = this->services.budgets,
                        .authorize = [this](const auto& request, auto& response,
                                            auto role) { return this->authorize(request, response, role); },
                        .audit =
                            [this](const auto& request, const std::string& outcome) {
                                this->audit(request, outcome);
                            }});
}

void admin_api::read_entry(const httplib::Request& request, httplib::Response& response,
                           const entry_locator& locate)
{
    if (!this->authorize(request, response, settings::operator_role::viewer)) {
        return;
    }
    const core::result<configuration::list_entry> entry =
        this->services.editor.read(locate(request.matches[1].str()));
    if (!entry) {
        write_error(response, entry.error());
        return;
    }
    if (entry->value.isNull()) {
        write_error(response, core::error{.code = core::error_code::not_found, .message = "no such entry"});
        return;
    }
    response.set_header("ETag", "\"" + std::to_string(entry->in_force) + "\"");
    write_json(response, entry->value);
}

void admin_api::write_entry(const httplib::Request& request, httplib::Response& response,
                            const entry_locator& locate, bool is_removal)
{
    if (!this->authorize(request, response, settings::operator_role::editor)) {
        return;
    }
    const core::result<configuration::edit_request> edit = this->read_edit_request(request);
    core::result<Json::Value> value = is_removal ? Json::Value() : core::parse_json(request.body);
    if (!edit || !value) {
        write_error(response, edit ? value.error() : edit.error());
        return;
    }
    if (!is_removal && value->isNull()) {
        write_error(response, core::error{.code = core::error_code::invalid_argument,
                                          .message = "request body: expected an entry, not null"});
        return;
    }
    const auto written = this->services.editor.apply(locate(request.matches[1].str()), *value, *edit);
    if (!written) {
        this->audit(request, std::string(core::to_string(written.error().cause.code)));
        write_conflict(response, written.error());
        return;
    }
    this->audit(request, written->is_repeated ? "repeated" : "accepted", written->in_force);
    response.set_header("ETag", "\"" + std::to_string(written->in_force) + "\"");
    if (written->is_repeated) {
        response.set_header("X-Samphireway-Repeated", "true");
    }
    write_json(response, written->value);
}

core::result<configuration::edit_request> admin_api::read_edit_request(const httplib::Request& request) const
{
    constexpr std::size_t maximum_key_length = 128;
    const core::result<std::optional<configuration::generation>> expected = read_precondition(request);
    if (!expected) {
        return tl::unexpected(expected.error());
    }
    configuration::edit_request edit;
    edit.expected = *expected;
    const std::string none_match = request.get_header_value("If-None-Match");
    if (!none_match.empty() && none_match != "*") {
        return core::failure(core::error_code::invalid_argument, "If-None-Match: expected *");
    }
    edit.must_not_exist = none_match == "*";
    edit.idempotency_key = request.get_header_value("Idempotency-Key");
    if (edit.idempotency_key.size() > maximum_key_length) {
        return core::failure(core::error_code::invalid_argument,
                             "Idempotency-Key: expected at most 128 characters");
    }
    const settings::operator_account* account = this->find_operator(request);
    edit.operator_name = account == nullptr ? "" : account->name;
    return edit;
}

void admin_api::deposit(const httplib::Request& request, httplib::Response& response)
{
    if (!this->authorize(request, response, settings::operator_role::editor)) {
        return;
    }
    const core::result<Json::Value> body = core::parse_json(request.body);
    const std::string deposit_id = body ? core::string_member(*body, "id") : "";
    if (!configuration::is_valid_id(deposit_id)) {
        write_error(response, core::error{.code = core::error_code::invalid_argument,
                                          .message = "id: expected 1 to 64 letters, digits, - or _"});
        return;
    }
    const std::string plan = request.matches[1].str();
    const core::result<escrow::account> account =
        this->services.budgets.deposit(plan, deposit_id, core::integer_member(*body, "amount"));
    if (!account) {
        this->audit(request, std::string(core::to_string(account.error().code)));
        write_error(response, account.error());
        return;
    }
    this->audit(request, "accepted");
    write_json(response, account_json(plan, *account));
}

void admin_api::read_budget(const httplib::Request& request, httplib::Response& response)
{
    if (!this->authorize(request, response, settings::operator_role::viewer)) {
        return;
    }
    const std::string plan = request.matches[1].str();
    const core::result<escrow::account> account = this->services.budgets.read(plan);
    if (!account) {
        write_error(response, account.error());
        return;
    }
    write_json(response, account_json(plan, *account));
}

const settings::operator_account* admin_api::find_operator(const httplib::Request& request) const
{
    constexpr std::string_view prefix = "Bearer ";
    const std::string authorization = request.get_header_value("Authorization");
    if (!authorization.starts_with(prefix)) {
        return nullptr;
    }
    const std::string hash = core::sha256_hex(authorization.substr(prefix.size()));
    for (const settings::operator_account& account : this->services.operators) {
        if (core::equal_in_constant_time(account.key_hash, hash)) {
            return &account;
        }
    }
    return nullptr;
}

bool admin_api::authorize(const httplib::Request& request, httplib::Response& response,
                          settings::operator_role needed) const
{
    const settings::operator_account* account = this->find_operator(request);
    if (account == nullptr) {
        write_error(response, core::error{.code = core::error_code::unauthenticated,
                                          .message = "missing or unknown operator key"});
        return false;
    }
    if (needed == settings::operator_role::editor && account->role != settings::operator_role::editor) {
        this->audit(request, "forbidden");
        write_error(response, core::error{.code = core::error_code::forbidden,
                                          .message = "this operation requires the operator role editor"});
        return false;
    }
    return true;
}

void admin_api::audit(const httplib::Request& request, const std::string& outcome,
                      configuration::generation written) const
{
    const settings::operator_account* account = this->find_operator(request);
    core::log_event(core::log_level::info, "audit",
                    {{"operator", account == nullptr ? "unknown" : account->name},
                     {"method", request.method},
                     {"path", request.path},
                     {"outcome", outcome},
                     {"generation", static_cast<long long>(written)}});
}

} // namespace samphireway::admin
