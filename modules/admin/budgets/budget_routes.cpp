#include "admin/budgets/budget_routes.h"

#include "admin/server/admin_responses.h"
#include "configuration/configuration.h"

namespace samphireway::admin {

namespace {

using account_call = std::function<core::result<escrow::account>()>;

Json::Value account_json(const std::string& plan, const escrow::account& account)
{
    Json::Value json(Json::objectValue);
    json["plan"] = plan;
    json["limit"] = static_cast<Json::Int64>(account.limit());
    json["spent"] = static_cast<Json::Int64>(account.spent());
    json["held"] = static_cast<Json::Int64>(account.outstanding());
    json["available"] = static_cast<Json::Int64>(account.available());
    json["pending_reduction"] = static_cast<Json::Int64>(account.pending_reduction());
    json["removed"] = account.is_removed;
    for (const auto& [id, entry] : account.closures) {
        json["closures"][id]["charged"] = static_cast<Json::Int64>(entry.charged);
        json["closures"][id]["released"] = static_cast<Json::Int64>(entry.released);
    }
    return json;
}

Json::Value in_doubt_json(const std::string& plan, const std::vector<holder_in_doubt>& found)
{
    Json::Value json(Json::objectValue);
    json["plan"] = plan;
    json["holders"] = Json::Value(Json::objectValue);
    for (const holder_in_doubt& entry : found) {
        Json::Value& holder = json["holders"][entry.holder];
        holder["in_doubt"] = static_cast<Json::Int64>(entry.outstanding);
        holder["silent_s"] =
            static_cast<Json::Int64>(std::chrono::duration_cast<std::chrono::seconds>(entry.silent).count());
    }
    return json;
}

/** Changes an account for an authorized request and writes one audit line and the response. */
void change_account(const account_route_services& services, const httplib::Request& request,
                    httplib::Response& response, const account_call& change)
{
    const core::result<escrow::account> account = change();
    if (!account) {
        services.audit(request, std::string(core::to_string(account.error().code)));
        write_error(response, account.error());
        return;
    }
    services.audit(request, "accepted");
    write_json(response, account_json(request.matches[1].str(), *account));
}

core::result<escrow::account> reduce(const budget_accounts& budgets, const httplib::Request& request)
{
    const core::result<Json::Value> body = core::parse_json(request.body);
    const std::string id = body ? core::string_member(*body, "id") : "";
    if (!configuration::is_valid_id(id)) {
        return core::failure(core::error_code::invalid_argument,
                             "id: expected 1 to 64 letters, digits, - or _");
    }
    return budgets.reduce(request.matches[1].str(), id, core::integer_member(*body, "amount"));
}

core::result<escrow::account> settle_in_doubt(const budget_accounts& budgets, const httplib::Request& request)
{
    const core::result<Json::Value> body = core::parse_json(request.body.empty() ? "{}" : request.body);
    const bool is_valid =
        body && body->isObject() && (!body->isMember("charge") || (*body)["charge"].isInt64());
    if (!is_valid) {
        return core::failure(core::error_code::invalid_argument, "charge: expected a number of tokens");
    }
    std::optional<escrow::amount> charged;
    if (body->isMember("charge")) {
        charged = (*body)["charge"].asInt64();
    }
    return budgets.settle_in_doubt(request.matches[1].str(), request.matches[2].str(), charged);
}

} // namespace

void add_account_routes(httplib::Server& server, const account_route_services& services)
{
    const std::string plan_path = "/admin/v1/plans/([A-Za-z0-9_-]{1,64})";
    const auto editor_route = [services](const auto& perform) {
        return [services, perform](const httplib::Request& request, httplib::Response& response) {
            if (services.authorize(request, response, settings::operator_role::editor)) {
                change_account(services, request, response,
                               [&] { return perform(services.budgets, request); });
            }
        };
    };
    server.Post(plan_path + "/reductions", editor_route(reduce));
    server.Post(plan_path + "/in-doubt/([A-Za-z0-9_.-]{1,128})", editor_route(settle_in_doubt));
    server.Delete(plan_path + "/budget",
                  editor_route([](const budget_accounts& budgets, const httplib::Request& request) {
                      return budgets.remove(request.matches[1].str());
                  }));
    server.Get(plan_path + "/in-doubt", [services](const httplib::Request& request,
                                                   httplib::Response& response) {
        if (!services.authorize(request, response, settings::operator_role::viewer)) {
            return;
        }
        const std::string plan = request.matches[1].str();
        const bool lists_all = request.get_param_value("all") == "true";
        const core::result<std::vector<holder_in_doubt>> found = services.budgets.in_doubt(plan, lists_all);
        if (!found) {
            write_error(response, found.error());
            return;
        }
        write_json(response, in_doubt_json(plan, *found));
    });
}

} // namespace samphireway::admin
