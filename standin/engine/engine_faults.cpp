#include "engine/engine_faults.h"

namespace samphireway::standin {

namespace {

bool mentions_caller(const Json::Value& body, const std::string& caller)
{
    for (const char* const member : {"workspace", "plan", "user"}) {
        if (core::string_member(body, member) == caller) {
            return true;
        }
    }
    const Json::Value& messages = body["messages"];
    return messages.isArray() && !messages.empty() &&
           core::string_member(messages[0], "content").find(caller) != std::string::npos;
}

} // namespace

Json::Value initial_engine_faults()
{
    Json::Value faults(Json::objectValue);
    faults["fail_rate_percent"] = 0;
    faults["slow_factor"] = 1;
    faults["empty_answers"] = false;
    faults["cut_after_tokens"] = 0;
    faults["fault_version"] = "";
    faults["fault_after_requests"] = 0;
    faults["fault_above_running"] = 0;
    faults["fault_only"] = "";
    faults["frozen"] = false;
    faults["silent_connections"] = false;
    faults["wrong_stream_id"] = false;
    faults["duplicate_every"] = 0;
    faults["omit_usage"] = false;
    faults["excess_usage_tokens"] = 0;
    faults["load_lag_ms"] = 0;
    faults["cache_event_delay_ms"] = 0;
    faults["cache_event_drop_every"] = 0;
    faults["ignore_fencing"] = false;
    faults["load_interval_ms"] = 0;
    faults["load_time_ms"] = 0;
    return faults;
}

bool is_fault_in_scope(const fault_switch& faults, const arriving_request& request)
{
    const std::string version = faults.text("fault_version");
    if (!version.empty() && version != request.version) {
        return false;
    }
    const std::int64_t above = faults.number("fault_above_running");
    if (request.arrival_number <= faults.number("fault_after_requests") ||
        (above > 0 && request.running <= above)) {
        return false;
    }
    const std::string only = faults.text("fault_only");
    return only.empty() || mentions_caller(request.body, only);
}

bool silent_connections::is_silent(const fault_switch& faults, int remote_port)
{
    const std::lock_guard lock(this->mutex);
    if (!faults.is_on("silent_connections")) {
        this->seen_before.insert(remote_port);
        return false;
    }
    return this->seen_before.contains(remote_port);
}

} // namespace samphireway::standin
