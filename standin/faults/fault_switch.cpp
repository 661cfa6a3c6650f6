#include "faults/fault_switch.h"

namespace samphireway::standin {

fault_switch::fault_switch(Json::Value initial) : faults(std::move(initial)) {}

void fault_switch::add_routes(httplib::Server& server)
{
    server.Get("/faults", [this](const httplib::Request&, httplib::Response& response) {
        const std::lock_guard lock(this->mutex);
        response.set_content(core::write_json(this->faults), "application/json");
    });
    server.Put("/faults", [this](const httplib::Request& request, httplib::Response& response) {
        const core::result<Json::Value> changes = core::parse_json(request.body);
        if (!changes || !this->merge(*changes)) {
            response.status = 400;
            return;
        }
        response.set_content("{}", "application/json");
    });
}

bool fault_switch::merge(const Json::Value& changes)
{
    const std::lock_guard lock(this->mutex);
    if (!changes.isObject()) {
        return false;
    }
    for (const std::string& name : changes.getMemberNames()) {
        if (!this->faults.isMember(name)) {
            return false;
        }
    }
    for (const std::string& name : changes.getMemberNames()) {
        this->faults[name] = changes[name];
    }
    return true;
}

bool fault_switch::is_on(const char* name) const
{
    const std::lock_guard lock(this->mutex);
    return core::boolean_member(this->faults, name);
}

std::int64_t fault_switch::number(const char* name) const
{
    const std::lock_guard lock(this->mutex);
    return core::integer_member(this->faults, name);
}

std::string fault_switch::text(const char* name) const
{
    const std::lock_guard lock(this->mutex);
    return core::string_member(this->faults, name);
}

bool fault_switch::consume(const char* name)
{
    const std::lock_guard lock(this->mutex);
    const std::int64_t remaining = core::integer_member(this->faults, name);
    if (remaining <= 0) {
        return false;
    }
    this->faults[name] = static_cast<Json::Int64>(remaining - 1);
    return true;
}

} // namespace samphireway::standin
