#include "engine/engine_orders.h"

#include <algorithm>

namespace samphireway::standin {

core::steady_time weight_store::load(std::chrono::milliseconds interval, std::chrono::milliseconds load_time,
                                     core::steady_time now)
{
    const std::lock_guard lock(this->mutex);
    const core::steady_time start = std::max(now, this->next_start);
    this->next_start = start + interval;
    return start + load_time;
}

engine_orders::engine_orders(std::string model, std::string version,
                             std::shared_ptr<weight_store> store_to_use)
    : store(std::move(store_to_use))
{
    this->ready[{std::move(model), std::move(version)}] = core::steady_time{};
}

order_answer engine_orders::execute(const Json::Value& order, const order_conditions& conditions,
                                    core::steady_time now)
{
    order_answer answer;
    answer.body = Json::Value(Json::objectValue);
    const std::string action = core::string_member(order, "action");
    const std::pair version{core::string_member(order, "model"), core::string_member(order, "version")};
    const bool is_known = action == "load" || action == "unload" || action == "role";
    if (!is_known || (action != "role" && (version.first.empty() || version.second.empty()))) {
        answer.status = 400;
        answer.body["error"] =
            "order needs the action load or unload with model and version, or the action role";
        return answer;
    }
    const std::lock_guard lock(this->mutex);
    const std::int64_t fencing = core::integer_member(order, "fencing");
    if (fencing < this->highest_fencing && !conditions.ignores_fencing) {
        ++this->refused;
        answer.status = 409;
        answer.body["fencing"] = static_cast<Json::Int64>(this->highest_fencing);
        return answer;
    }
    this->highest_fencing = std::max(this->highest_fencing, fencing);
    ++this->executed;
    if (action == "load" && !this->ready.contains(version)) {
        this->ready[version] = this->store->load(conditions.load_interval, conditions.load_time, now);
    }
    if (action == "unload") {
        this->ready.erase(version);
    }
    if (action == "role") {
        this->role = core::string_member(order, "role", this->role);
    }
    answer.status = 202;
    answer.body["fencing"] = static_cast<Json::Int64>(this->highest_fencing);
    return answer;
}

bool engine_orders::is_loaded(const std::string& model, const std::string& version,
                              core::steady_time now) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->ready.find({model, version});
    return found != this->ready.end() && found->second <= now;
}

Json::Value engine_orders::state(core::steady_time now) const
{
    const std::lock_guard lock(this->mutex);
    Json::Value json(Json::objectValue);
    json["fencing"] = static_cast<Json::Int64>(this->highest_fencing);
    json["executed"] = static_cast<Json::Int64>(this->executed);
    json["refused"] = static_cast<Json::Int64>(this->refused);
    json["role"] = this->role;
    json["versions"] = Json::Value(Json::arrayValue);
    for (const auto& [version, time] : this->ready) {
        Json::Value entry(Json::objectValue);
        entry["model"] = version.first;
        entry["version"] = version.second;
        entry["state"] = time <= now ? "loaded" : "loading";
        json["versions"].append(entry);
    }
    return json;
}

} // namespace samphireway::standin
