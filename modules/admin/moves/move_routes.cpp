#include "admin/moves/move_routes.h"

#include "admin/server/admin_responses.h"

namespace samphireway::admin {

namespace {

constexpr const char* moves_path = "/admin/v1/moves";
constexpr const char* move_path = "/admin/v1/moves/([A-Za-z0-9_-]{1,64})";

void write_entry(httplib::Response& response, const configuration::list_entry& entry)
{
    response.set_header("ETag", "\"" + std::to_string(entry.in_force) + "\"");
    write_json(response, entry.value);
}

core::result<void> check_edit(const std::string& id, const Json::Value& before, const Json::Value& after)
{
    const core::result<configuration::move_entry> next = configuration::move_from_json(id, after);
    if (!next) {
        return tl::unexpected(next.error());
    }
    const core::result<configuration::move_entry> stored_entry = configuration::move_from_json(id, before);
    return stored_entry ? configuration::check_move_edit(*stored_entry, *next) : core::result<void>{};
}

} // namespace

move_routes::move_routes(move_services services_to_use) : services(std::move(services_to_use)) {}

void move_routes::add_routes(httplib::Server& server)
{
    server.Get(moves_path, [this](const httplib::Request& request, httplib::Response& response) {
        if (this->services.authorize(request, response, false)) {
            write_json(response, this->services.report());
        }
    });
    server.Get(move_path, [this](const httplib::Request& request, httplib::Response& response) {
        this->read(request, response);
    });
    server.Put(move_path, [this](const httplib::Request& request, httplib::Response& response) {
        this->write(request, response, false);
    });
    server.Delete(move_path, [this](const httplib::Request& request, httplib::Response& response) {
        this->write(request, response, true);
    });
}

void move_routes::read(const httplib::Request& request, httplib::Response& response) const
{
    if (!this->services.authorize(request, response, false)) {
        return;
    }
    const std::string id = request.matches[1].str();
    core::result<configuration::list_entry> entry =
        this->services.editor.read(this->services.editor.move_location(id));
    if (!entry) {
        write_error(response, entry.error());
        return;
    }
    if (entry->value.isNull()) {
        write_error(response, {.code = core::error_code::not_found, .message = "no such move"});
        return;
    }
    write_entry(response, *entry);
}

core::result<configuration::list_entry> move_routes::edit(const httplib::Request& request,
                                                          bool is_removal) const
{
    const auto expected = read_precondition(request);
    if (!expected) {
        return tl::unexpected(expected.error());
    }
    const configuration::entry_location location =
        this->services.editor.move_location(request.matches[1].str());
    if (is_removal) {
        return this->services.editor.write(location, Json::Value(), *expected);
    }
    const core::result<Json::Value> value = core::parse_json(request.body);
    if (!value) {
        return tl::unexpected(value.error());
    }
    const core::result<configuration::list_entry> stored_entry = this->services.editor.read(location);
    if (!stored_entry) {
        return stored_entry;
    }
    const core::result<void> allowed = check_edit(location.id, stored_entry->value, *value);
    if (!allowed) {
        return tl::unexpected(allowed.error());
    }
    // The check is valid only for the entry that was read, so the write must apply to that generation.
    const configuration::generation checked = *expected ? **expected : stored_entry->in_force;
    if (checked != stored_entry->in_force) {
        return core::failure(core::error_code::conflict, "the list has changed: generation " +
                                                             std::to_string(stored_entry->in_force) +
                                                             " is in force");
    }
    return this->services.editor.write(location, *value, checked);
}

void move_routes::write(const httplib::Request& request, httplib::Response& response, bool is_removal) const
{
    if (!this->services.authorize(request, response, true)) {
        return;
    }
    const core::result<configuration::list_entry> written = this->edit(request, is_removal);
    if (!written) {
        this->services.audit(request, std::string(core::to_string(written.error().code)));
        write_error(response, written.error());
        return;
    }
    this->services.audit(request, "accepted");
    write_entry(response, *written);
}

} // namespace samphireway::admin
