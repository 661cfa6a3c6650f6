#include "gateway/rollout/version_evidence.h"

#include <set>

namespace samphireway::gateway {

namespace {

std::uint32_t difference(std::uint32_t later, std::uint32_t earlier)
{
    return later > earlier ? later - earlier : 0;
}

void subtract(moves::histogram& later, const moves::histogram& earlier)
{
    for (std::size_t index = 0; index < moves::histogram::buckets; ++index) {
        later.counts.at(index) = difference(later.counts.at(index), earlier.counts.at(index));
    }
}

void subtract(moves::summary& later, const moves::summary& earlier)
{
    later.requests = difference(later.requests, earlier.requests);
    later.errors = difference(later.errors, earlier.errors);
    later.empty_answers = difference(later.empty_answers, earlier.empty_answers);
    subtract(later.first_token, earlier.first_token);
    subtract(later.gap, earlier.gap);
    subtract(later.slowdown, earlier.slowdown);
}

} // namespace

moves::summary route_evidence::target_without(const std::string& upstream) const
{
    moves::summary total;
    for (const auto& [id, outcomes] : this->target) {
        if (id != upstream) {
            total.merge(outcomes);
        }
    }
    return total;
}

void version_evidence::add(const std::string& route, const std::string& upstream, bool is_target,
                           const moves::sample& observed)
{
    for (const std::string& key : std::set<std::string>{all_routes, route}) {
        if (this->routes.size() >= maximum_routes && !this->routes.contains(key)) {
            continue;
        }
        route_evidence& evidence = this->routes[key];
        (is_target ? evidence.target[upstream] : evidence.stable).add(observed);
    }
}

void version_evidence::merge(const version_evidence& other)
{
    for (const auto& [route, part] : other.routes) {
        if (this->routes.size() >= maximum_routes && !this->routes.contains(route)) {
            continue;
        }
        route_evidence& evidence = this->routes[route];
        evidence.stable.merge(part.stable);
        for (const auto& [upstream, outcomes] : part.target) {
            evidence.target[upstream].merge(outcomes);
        }
    }
}

version_evidence version_evidence::since(const version_evidence& earlier) const
{
    version_evidence result = *this;
    for (const auto& [route, part] : earlier.routes) {
        const auto found = result.routes.find(route);
        if (found == result.routes.end()) {
            continue;
        }
        subtract(found->second.stable, part.stable);
        for (const auto& [upstream, outcomes] : part.target) {
            const auto later = found->second.target.find(upstream);
            if (later != found->second.target.end()) {
                subtract(later->second, outcomes);
            }
        }
    }
    return result;
}

Json::Value to_json(const version_evidence& value)
{
    Json::Value json(Json::objectValue);
    for (const auto& [route, evidence] : value.routes) {
        Json::Value& entry = json[route];
        entry["stable"] = moves::to_json(evidence.stable);
        entry["target"] = Json::Value(Json::objectValue);
        for (const auto& [upstream, outcomes] : evidence.target) {
            entry["target"][upstream] = moves::to_json(outcomes);
        }
    }
    return json;
}

core::result<version_evidence> version_evidence_from_json(const Json::Value& json)
{
    if (!json.isObject() || json.size() > version_evidence::maximum_routes) {
        return core::failure(core::error_code::invalid_argument, "the evidence is not an object of routes");
    }
    version_evidence result;
    for (const std::string& route : json.getMemberNames()) {
        const Json::Value& entry = json[route];
        if (!entry.isObject() || !entry["target"].isObject()) {
            return core::failure(core::error_code::invalid_argument,
                                 "the evidence of a route lacks the upstreams of the target version");
        }
        route_evidence& evidence = result.routes[route];
        evidence.stable = moves::summary_from_json(entry["stable"]);
        for (const std::string& upstream : entry["target"].getMemberNames()) {
            evidence.target[upstream] = moves::summary_from_json(entry["target"][upstream]);
        }
    }
    return result;
}

} // namespace samphireway::gateway
