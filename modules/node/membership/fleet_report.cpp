#include "node/membership/fleet_report.h"

#include "core/core.h"

#include <algorithm>

namespace samphireway::node {

namespace {

/** Returns why a node lags behind the newest generation of a configuration object, by its report. */
std::string explain_lag(const Json::Value& report, const std::string& key)
{
    const Json::Value& lag = report["lag"];
    if (lag["rejected"].isMember(key)) {
        return "generation " + lag["rejected"][key]["generation"].asString() +
               " does not validate: " + lag["rejected"][key]["reason"].asString();
    }
    if (core::string_member(lag, "platform") != "answers") {
        return "the platform does not answer this node";
    }
    return lag["newer_elsewhere"].isMember(key) ? "being read" : "not told yet";
}

} // namespace

fleet_report::fleet_report(std::string self_to_use, const Json::Value& own_report)
    : self(std::move(self_to_use))
{
    this->reports[this->self] = own_report;
}

void fleet_report::add_peer(const membership::peer_record& record)
{
    this->peers[record.facts.endpoint.identity.id] = record;
}

void fleet_report::add_report(const std::string& id, const Json::Value& report)
{
    this->reports[id] = report;
}

Json::Value fleet_report::combined_report() const
{
    const Json::Value& own = this->reports.at(this->self);
    std::map<std::string, std::int64_t> newest;
    const auto generations_of = [&own](const Json::Value& report) -> const Json::Value& {
        // A node whose configuration has the same digest as this node's omits its generations.
        return report.isMember("generations") ? report["generations"] : own["generations"];
    };
    for (const auto& [id, report] : this->reports) {
        if (!report.isObject()) {
            continue;
        }
        const Json::Value& generations = generations_of(report);
        for (auto entry = generations.begin(); entry != generations.end(); ++entry) {
            newest[entry.name()] = std::max(newest[entry.name()], entry->asInt64());
        }
    }
    Json::Value json(Json::objectValue);
    json["nodes"] = Json::Value(Json::objectValue);
    for (const auto& [id, record] : this->peers) {
        Json::Value& node = json["nodes"][id];
        node["state"] = std::string(membership::to_string(record.state));
        node["availability_zone"] = record.facts.availability_zone;
        node["lagging"] = "unknown: no answer";
    }
    json["nodes"][this->self]["state"] = "live";
    for (const auto& [id, report] : this->reports) {
        if (!report.isObject()) {
            continue;
        }
        Json::Value& node = json["nodes"][id];
        node["ready"] = report["ready"];
        node["lagging"] = "no";
        const Json::Value& generations = generations_of(report);
        for (const auto& [key, generation] : newest) {
            const std::int64_t in_force = core::integer_member(generations, key.c_str());
            if (in_force < generation) {
                node["lagging"] = "yes";
                node["behind"][key] = "generation " + std::to_string(in_force) + " of " +
                                      std::to_string(generation) + ": " + explain_lag(report, key);
            }
        }
    }
    return json;
}

} // namespace samphireway::node
