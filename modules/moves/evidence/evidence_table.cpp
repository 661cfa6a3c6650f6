#include "moves/evidence/evidence_table.h"

#include <algorithm>

namespace samphireway::moves {

namespace {

/// A finding must also hold against the old version's outcomes of the same step, at this less strict
/// error rate, so that a problem that affects both versions does not roll back the new one.
constexpr double concurrent_error_rate = 0.05;

/// The old version's mean latency on a route serves as the reference after this many requests. Its
/// relative standard error is then a tenth if the standard deviation of latencies is half their mean.
constexpr std::uint64_t minimum_mean_requests = 25;

constexpr std::size_t maximum_senders = 4096;
/// A route with fewer requests than this since the last eviction is evicted.
constexpr std::uint32_t minimum_recent_requests = 8;
constexpr std::chrono::seconds eviction_interval{128};

std::optional<finding> test_route(const route_evidence& evidence, const detection_limits& limits)
{
    if (auto found = evidence.detectors.find(limits.detection_threshold)) {
        return found;
    }
    std::optional<finding> found =
        compare_versions(evidence.old_baseline, evidence.step.new_version, limits.step_error_rate);
    const bool is_confirmed = found && compare_versions(evidence.step.old_version, evidence.step.new_version,
                                                        concurrent_error_rate);
    return is_confirmed ? found : std::nullopt;
}

/** Tests the slowdowns of all traffic, where enough evidence is available first. */
std::optional<finding> test_all_traffic(const route_evidence& evidence, const detection_limits& limits)
{
    std::optional<finding> found =
        compare_slowdowns(evidence.old_baseline.slowdown, evidence.new_slowdowns, limits.slowdown_error_rate);
    const bool is_confirmed =
        found && compare_slowdowns(evidence.step.old_version.slowdown, evidence.step.new_version.slowdown,
                                   concurrent_error_rate);
    return is_confirmed ? found : std::nullopt;
}

void merge_pair(version_pair& target, const version_pair& part)
{
    target.old_version.merge(part.old_version);
    target.new_version.merge(part.new_version);
}

double fault_rate(const proportion& value)
{
    return static_cast<double>(value.faults) / static_cast<double>(value.total);
}

Json::Value to_json(const proportion& value)
{
    Json::Value json(Json::objectValue);
    json["faults"] = static_cast<Json::UInt64>(value.faults);
    json["total"] = static_cast<Json::UInt64>(value.total);
    return json;
}

proportion proportion_from_json(const Json::Value& json)
{
    return json.isObject()
               ? proportion{.faults = static_cast<std::uint64_t>(core::integer_member(json, "faults")),
                            .total = static_cast<std::uint64_t>(core::integer_member(json, "total"))}
               : proportion{};
}

} // namespace

std::string plan_route(const std::string& workspace, const std::string& plan)
{
    return workspace + "/" + plan;
}

std::string workspace_route(const std::string& workspace)
{
    return workspace + "/";
}

void evidence_table::evict_quiet_routes(core::wall_time now)
{
    if (now < this->last_eviction + eviction_interval) {
        return;
    }
    this->last_eviction = now;
    std::erase_if(this->routes, [](const auto& route) {
        return !route.first.empty() && route.second.evidence.recent_requests < minimum_recent_requests;
    });
    for (auto& [route, tracked] : this->routes) {
        tracked.evidence.recent_requests = 0;
    }
}

evidence_table::tracked_route* evidence_table::find_or_add(const std::string& route, core::wall_time now)
{
    const auto found = this->routes.find(route);
    if (found != this->routes.end()) {
        return &found->second;
    }
    if (this->routes.size() >= maximum_routes && route != all_routes) {
        this->evict_quiet_routes(now);
        if (this->routes.size() >= maximum_routes) {
            return nullptr;
        }
    }
    return &this->routes[route];
}

void evidence_table::add_to(const std::string& route, const version_pair& part, core::wall_time now)
{
    tracked_route* target = this->find_or_add(route, now);
    if (target == nullptr) {
        return;
    }
    route_evidence& evidence = target->evidence;
    target->is_changed = true;
    evidence.detectors.add(part.old_version, part.new_version, evidence.old_baseline);
    evidence.new_requests += part.new_version.requests;
    evidence.recent_requests += part.old_version.requests + part.new_version.requests;
    evidence.old_baseline.merge(part.old_version);
    evidence.new_slowdowns.merge(part.new_version.slowdown);
    merge_pair(evidence.step, part);
}

double evidence_table::measure_slowdown(const sample& observed, bool is_new_version, core::wall_time now)
{
    if (observed.first_token.count() <= 0 || observed.mean_gap.count() <= 0) {
        return 0;
    }
    tracked_route* route = this->find_or_add(plan_route(observed.workspace, observed.plan), now);
    if (route == nullptr) {
        return 0;
    }
    old_latencies& old = route->old;
    double slowdown = 0;
    if (old.requests >= minimum_mean_requests) {
        const auto ratio = [&old](std::chrono::microseconds latency, std::chrono::microseconds sum) {
            return static_cast<double>(latency.count()) * static_cast<double>(old.requests) /
                   static_cast<double>(sum.count());
        };
        slowdown = std::min(ratio(observed.first_token, old.first_token), ratio(observed.mean_gap, old.gap));
    }
    if (!is_new_version) {
        ++old.requests;
        old.first_token += observed.first_token;
        old.gap += observed.mean_gap;
    }
    return slowdown;
}

void evidence_table::add(const sample& observed, bool is_new_version, core::wall_time now)
{
    sample measured = observed;
    measured.slowdown = this->measure_slowdown(observed, is_new_version, now);
    version_pair part;
    (is_new_version ? part.new_version : part.old_version).add(measured);
    const std::array keys{std::string(all_routes), workspace_route(observed.workspace),
                          plan_route(observed.workspace, observed.plan)};
    for (const std::string& key : keys) {
        this->add_to(key, part, now);
        if (this->outgoing.size() < maximum_routes || this->outgoing.contains(key)) {
            merge_pair(this->outgoing[key], part);
        }
    }
}

bool evidence_table::merge(const evidence_delta& received, core::wall_time now)
{
    if (this->sequences.size() >= maximum_senders && !this->sequences.contains(received.node)) {
        this->sequences.clear();
    }
    std::uint64_t& last = this->sequences[received.node];
    if (received.sequence <= last) {
        return false;
    }
    last = received.sequence;
    for (const auto& [route, part] : received.routes) {
        this->add_to(route, part, now);
    }
    return true;
}

void evidence_table::begin_step()
{
    for (auto& [route, tracked] : this->routes) {
        tracked.evidence.step = version_pair{};
    }
}

std::map<std::string, version_pair> evidence_table::take_delta(std::size_t limit)
{
    std::map<std::string, version_pair> taken;
    const auto take = [&](std::map<std::string, version_pair>::iterator route) {
        const auto next = std::next(route);
        taken.insert(this->outgoing.extract(route));
        return next;
    };
    const auto all = this->outgoing.find(all_routes);
    if (all != this->outgoing.end()) {
        take(all);
    }
    for (auto route = this->outgoing.begin(); route != this->outgoing.end() && taken.size() < limit;) {
        const summary& part = route->second.new_version;
        route = part.errors + part.empty_answers > 0 ? take(route) : std::next(route);
    }
    // The remaining routes are sent in round-robin order, so that none is starved.
    auto route = this->outgoing.upper_bound(this->last_sent);
    while (!this->outgoing.empty() && taken.size() < limit) {
        route = route == this->outgoing.end() ? this->outgoing.begin() : route;
        this->last_sent = route->first;
        route = take(route);
    }
    return taken;
}

std::optional<route_fault> evidence_table::find_fault(const detection_limits& limits, bool has_changed_only)
{
    // Among several findings, the one with the highest fault rate identifies the affected route best.
    const auto order = [](const finding& found) {
        return std::pair(found.is_confirmed, fault_rate(found.new_version));
    };
    std::optional<route_fault> fault;
    for (auto& [route, tracked] : this->routes) {
        if (has_changed_only && !tracked.is_changed) {
            continue;
        }
        tracked.is_changed = false;
        std::optional<finding> found = test_route(tracked.evidence, limits);
        if (!found && route == all_routes) {
            found = test_all_traffic(tracked.evidence, limits);
        }
        if (found && (!fault || order(*found) > order(fault->found))) {
            fault = route_fault{.route = route, .found = std::move(*found)};
        }
    }
    return fault;
}

void evidence_table::drop_single_routes()
{
    std::erase_if(this->routes, [](const auto& route) { return route.first != all_routes; });
    this->outgoing.clear();
    this->sequences.clear();
}

const route_evidence* evidence_table::find(const std::string& route) const
{
    const auto found = this->routes.find(route);
    return found == this->routes.end() ? nullptr : &found->second.evidence;
}

std::vector<std::string> evidence_table::routes_with_requests(std::uint64_t requests) const
{
    std::vector<std::string> names;
    for (const auto& [route, tracked] : this->routes) {
        if (tracked.evidence.new_requests >= requests) {
            names.push_back(route);
        }
    }
    return names;
}

std::size_t evidence_table::size() const noexcept
{
    return this->routes.size();
}

Json::Value to_json(const route_fault& value)
{
    Json::Value json(Json::objectValue);
    json["route"] = value.route;
    json["signal"] = value.found.signal;
    json["old"] = to_json(value.found.old_version);
    json["new"] = to_json(value.found.new_version);
    return json;
}

route_fault fault_from_json(const Json::Value& json)
{
    return route_fault{.route = core::string_member(json, "route"),
                       .found = {.signal = core::string_member(json, "signal"),
                                 .old_version = proportion_from_json(json["old"]),
                                 .new_version = proportion_from_json(json["new"])}};
}

Json::Value to_json(const evidence_delta& value)
{
    Json::Value json(Json::objectValue);
    json["move"] = value.move;
    json["generation"] = static_cast<Json::UInt64>(value.generation);
    json["node"] = value.node;
    json["sequence"] = static_cast<Json::UInt64>(value.sequence);
    json["routes"] = Json::Value(Json::objectValue);
    for (const auto& [route, part] : value.routes) {
        json["routes"][route]["old"] = to_json(part.old_version);
        json["routes"][route]["new"] = to_json(part.new_version);
    }
    return json;
}

core::result<evidence_delta> delta_from_json(const Json::Value& json)
{
    if (!json.isObject() || !json["routes"].isObject()) {
        return core::failure(core::error_code::invalid_argument,
                             "evidence message is not an object with a routes object");
    }
    evidence_delta delta{.move = core::string_member(json, "move"),
                         .generation = static_cast<std::uint64_t>(core::integer_member(json, "generation")),
                         .node = core::string_member(json, "node"),
                         .sequence = static_cast<std::uint64_t>(core::integer_member(json, "sequence"))};
    if (delta.move.empty() || delta.node.empty()) {
        return core::failure(core::error_code::invalid_argument,
                             "evidence message lacks the move or the node");
    }
    for (const std::string& route : json["routes"].getMemberNames()) {
        const Json::Value& part = json["routes"][route];
        if (!part.isObject()) {
            return core::failure(core::error_code::invalid_argument,
                                 "evidence message has a route that is not an object");
        }
        delta.routes[route] = version_pair{.old_version = summary_from_json(part["old"]),
                                           .new_version = summary_from_json(part["new"])};
    }
    return delta;
}

} // namespace samphireway::moves
