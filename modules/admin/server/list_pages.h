#pragma once

#include "configuration/configuration.h"
#include "core/core.h"

#include <functional>
#include <httplib.h>
#include <memory>
#include <string>

namespace samphireway::admin {

/** Which entries of a list a page contains. @see read_page */
struct page_request {
    std::string after;       ///< Last id of the previous page; empty for the first page.
    std::size_t limit = 100; ///< Maximum number of entries on the page.
};

/**
    Returns one page of a list (`plans`, `access` or `upstreams`) of the configuration in force at this
    node, in ascending order of ids. The member `next` is the `after` of the next page, or null on the
    last page.
*/
Json::Value read_page(const configuration::snapshot& in_force, const std::string& list,
                      const page_request& page);

/**
    Reads the parameters `after` and `limit`. Fails with `invalid_argument` unless `limit` is 1 to 1000.
*/
core::result<page_request> read_page_request(const httplib::Request& request);

/**
    Adds the route `GET /admin/v1/<list>` for each list. `authorize` returns whether a request is
    allowed, and otherwise writes the error response.
*/
void add_page_routes(
    httplib::Server& server, const std::function<std::shared_ptr<const configuration::snapshot>()>& in_force,
    const std::function<bool(const httplib::Request& request, httplib::Response& response)>& authorize);

} // namespace samphireway::admin
