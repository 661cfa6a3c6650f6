#pragma once

#include "admin/budgets/budget_accounts.h"
#include "admin/moves/move_routes.h"
#include "configuration/configuration.h"
#include "core/core.h"
#include "settings/settings.h"

#include <functional>
#include <httplib.h>
#include <string>
#include <vector>

namespace samphireway::admin {

/** Services that the administration API uses. @see admin_api */
struct admin_services {
    configuration::editor editor;
    budget_accounts budgets;
    /// Returns the configuration in force at this node.
    std::function<std::shared_ptr<const configuration::snapshot>()> configuration;
    std::function<Json::Value()> status; ///< Returns the state of this node.
    /// Returns which nodes lag behind, and why. Waits for peers.
    std::function<Json::Value()> fleet_status;
    /// Returns the state of all moves. @see move_services::report
    std::function<Json::Value()> moves;
    std::vector<settings::operator_account> operators;
};

/**
    The administration API: HTTP with JSON bodies under `/admin/v1/`.

    Every change needs an operator key with the role `editor` and writes one audit line.

    @see configuration::editor
*/
class admin_api {
public:
    explicit admin_api(admin_services services_to_use);

    /** Adds the API's routes to a server. The server must not outlive this object. */
    void add_routes(httplib::Server& server);

private:
    using entry_locator = std::function<configuration::entry_location(const std::string& id)>;
    using snapshot_json = std::function<Json::Value(const configuration::snapshot&)>;

    void add_list_routes(httplib::Server& server, const std::string& list, const entry_locator& locate);
    void add_budget_routes(httplib::Server& server);
    void read_entry(const httplib::Request& request, httplib::Response& response,
                    const entry_locator& locate);
    void write_entry(const httplib::Request& request, httplib::Response& response,
                     const entry_locator& locate, bool is_removal);
    void deposit(const httplib::Request& request, httplib::Response& response);
    void read_budget(const httplib::Request& request, httplib::Response& response);
    const settings::operator_account* find_operator(const httplib::Request& request) const;
    bool authorize(const httplib::Request& request, httplib::Response& response,
                   settings::operator_role needed) const;
    core::result<configuration::edit_request> read_edit_request(const httplib::Request& request) const;
    void audit(const httplib::Request& request, const std::string& outcome,
               configuration::generation written = 0) const;

    move_services make_move_services();

    const admin_services services;
    move_routes moves;
};

} // namespace samphireway::admin
