#pragma once

#include "admin/budgets/budget_accounts.h"
#include "settings/settings.h"

#include <functional>
#include <httplib.h>
#include <string>

namespace samphireway::admin {

/** Services that the budget routes use. @see add_account_routes */
struct account_route_services {
    const budget_accounts& budgets; ///< Must outlive the server.
    /// Returns whether the operator of a request has a role; otherwise writes the error response.
    std::function<bool(const httplib::Request&, httplib::Response&, settings::operator_role)> authorize;
    /// Writes the audit line of a change.
    std::function<void(const httplib::Request&, const std::string& outcome)> audit;
};

/**
    Adds the routes that reduce a budget, list and settle amounts in doubt, and remove a budget account:

    - `POST /admin/v1/plans/PLAN/reductions` with `id` and `amount`;
    - `GET /admin/v1/plans/PLAN/in-doubt`, with `?all=true` also for holders that wrote recently;
    - `POST /admin/v1/plans/PLAN/in-doubt/HOLDER` with an optional `charge`;
    - `DELETE /admin/v1/plans/PLAN/budget`.
*/
void add_account_routes(httplib::Server& server, const account_route_services& services);

} // namespace samphireway::admin
