#include "admin/server/list_pages.h"

#include <charconv>

namespace samphireway::admin {

namespace {

constexpr std::size_t maximum_limit = 1000;

struct entries_page {
    Json::Value entries{Json::objectValue};
    std::string last;
};

void add_entry(entries_page& page, const std::string& id, Json::Value value)
{
    page.entries[id] = std::move(value);
    page.last = id;
}

entries_page read_entries(const configuration::snapshot& in_force, const std::string& list,
                          const page_request& request)
{
    entries_page page;
    if (list == "plans") {
        for (const configuration::plan& plan : in_force.page_plans(request.after, request.limit)) {
            add_entry(page, plan.id, configuration::to_json(plan));
        }
    }
    else if (list == "access") {
        for (const std::string& id : in_force.page_access(request.after, request.limit)) {
            add_entry(page, id, configuration::to_json(*in_force.find_access(id)));
        }
    }
    else {
        const auto& upstreams = in_force.upstreams->upstreams;
        for (auto entry = upstreams.upper_bound(request.after);
             entry != upstreams.end() && page.entries.size() < request.limit; ++entry) {
            add_entry(page, entry->first, configuration::to_json(entry->second));
        }
    }
    return page;
}

} // namespace

Json::Value read_page(const configuration::snapshot& in_force, const std::string& list,
                      const page_request& request)
{
    entries_page page = read_entries(in_force, list, request);
    Json::Value json(Json::objectValue);
    const bool is_full = page.entries.size() == request.limit;
    json["next"] = is_full ? Json::Value(page.last) : Json::Value();
    json[list] = std::move(page.entries);
    return json;
}

core::result<page_request> read_page_request(const httplib::Request& request)
{
    page_request page;
    page.after = request.get_param_value("after");
    const std::string limit = request.get_param_value("limit");
    if (limit.empty()) {
        return page;
    }
    const char* const end = limit.data() + limit.size();
    const auto [stopped, error] = std::from_chars(limit.data(), end, page.limit);
    if (error != std::errc{} || stopped != end || page.limit < 1 || page.limit > maximum_limit) {
        return core::failure(core::error_code::invalid_argument, "limit: expected 1 to 1000");
    }
    return page;
}

void add_page_routes(
    httplib::Server& server, const std::function<std::shared_ptr<const configuration::snapshot>()>& in_force,
    const std::function<bool(const httplib::Request& request, httplib::Response& response)>& authorize)
{
    for (const std::string list : {"plans", "access", "upstreams"}) {
        server.Get("/admin/v1/" + list,
                   [list, in_force, authorize](const httplib::Request& request, httplib::Response& response) {
                       if (!authorize(request, response)) {
                           return;
                       }
                       const core::result<page_request> page = read_page_request(request);
                       Json::Value json(Json::objectValue);
                       if (page) {
                           json = read_page(*in_force(), list, *page);
                       }
                       else {
                           json["error"]["code"] = std::string(core::to_string(page.error().code));
                           json["error"]["message"] = page.error().message;
                           response.status = core::http_status(page.error().code);
                       }
                       response.set_content(core::write_json(json), "application/json");
                   });
    }
}

} // namespace samphireway::admin
