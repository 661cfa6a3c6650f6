#pragma once

#include "configuration/configuration.h"
#include "platform/objects/object_store.h"

#include <functional>
#include <httplib.h>
#include <string>

namespace samphireway::admin {

/** Services that the routes for moves use. @see move_routes */
struct move_services {
    configuration::editor editor;
    /// Returns state, shares, evidence and reason of all moves, by id.
    std::function<Json::Value()> report;

    /// Returns whether the operator key allows a request; otherwise writes the error response. A change
    /// needs the role `editor`.
    std::function<bool(const httplib::Request&, httplib::Response&, bool is_change)> authorize;

    /// Writes the audit line of a change.
    std::function<void(const httplib::Request&, const std::string& outcome)> audit;
};

/**
    The administration routes for moves: `GET /admin/v1/moves`, and `GET`, `PUT` and `DELETE` of
    `/admin/v1/moves/<id>`.

    An edit that changes a move's versions without a higher generation fails with `conflict`.

    @see configuration::check_move_edit
*/
class move_routes {
public:
    explicit move_routes(move_services services_to_use);

    /** Adds the routes to a server. The server must not outlive this object. */
    void add_routes(httplib::Server& server);

private:
    void read(const httplib::Request& request, httplib::Response& response) const;
    void write(const httplib::Request& request, httplib::Response& response, bool is_removal) const;
    core::result<configuration::list_entry> edit(const httplib::Request& request, bool is_removal) const;

    const move_services services;
};

} // namespace samphireway::admin
