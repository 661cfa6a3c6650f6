#include "moves/policy/move_record.h"

#include <algorithm>
#include <array>
#include <tuple>

namespace samphireway::moves {

namespace {

constexpr std::array<std::string_view, 8> state_names{"pending", "canary",     "ramping", "holding",
                                                      "done",    "taken_back", "late",    "aborted"};

/** Returns the rank among records of one generation: not begun, begun, done, aborted, taken back. */
int rank(const move_record& value)
{
    switch (value.state) {
    case move_state::taken_back:
        return 4;
    case move_state::aborted:
        return 3;
    case move_state::done:
        return 2;
    default:
        return value.has_begun() ? 1 : 0;
    }
}

/**
    Returns the sort key of a record. Of two that reached the same step, the one that did so first is
    later.
*/
auto order_of(const move_record& value)
{
    return std::tuple(value.generation, rank(value), value.step, -core::to_unix_ms(value.step_since),
                      value.late_since, -core::to_unix_ms(value.finished));
}

Json::Value time_to_json(core::wall_time time)
{
    return static_cast<Json::Int64>(core::to_unix_ms(time));
}

core::wall_time time_member(const Json::Value& json, const char* name)
{
    return core::from_unix_ms(core::integer_member(json, name));
}

} // namespace

std::string_view to_string(move_state state) noexcept
{
    return state_names.at(static_cast<std::size_t>(state));
}

bool move_record::is_final() const noexcept
{
    return this->state == move_state::done || this->state == move_state::aborted ||
           this->state == move_state::taken_back;
}

bool move_record::has_begun() const noexcept
{
    return this->begun != core::wall_time{};
}

move_record merge(const move_record& left, const move_record& right)
{
    const bool is_left_later = order_of(left) >= order_of(right);
    move_record merged = is_left_later ? left : right;
    const move_record& other = is_left_later ? right : left;
    if (left.generation == right.generation) {
        merged.cleared.insert(other.cleared.begin(), other.cleared.end());
    }
    if (other.driver_until > merged.driver_until) {
        merged.driver = other.driver;
        merged.driver_until = other.driver_until;
    }
    return merged;
}

Json::Value to_json(const move_record& value)
{
    Json::Value json(Json::objectValue);
    json["generation"] = static_cast<Json::UInt64>(value.generation);
    json["from_version"] = value.from_version;
    json["to_version"] = value.to_version;
    json["state"] = std::string(to_string(value.state));
    json["step"] = value.step;
    json["begun_unix_ms"] = time_to_json(value.begun);
    json["step_since_unix_ms"] = time_to_json(value.step_since);
    json["finished_unix_ms"] = time_to_json(value.finished);
    json["late_since_unix_ms"] = time_to_json(value.late_since);
    json["late_deadline_unix_ms"] = time_to_json(value.late_deadline);
    json["driver"] = value.driver;
    json["driver_until_unix_ms"] = time_to_json(value.driver_until);
    json["reason"] = value.reason;
    json["cleared"] = Json::Value(Json::arrayValue);
    for (const std::string& route : value.cleared) {
        json["cleared"].append(route);
    }
    if (value.fault) {
        json["fault"] = to_json(*value.fault);
    }
    return json;
}

core::result<move_record> move_record_from_json(const Json::Value& json)
{
    const std::string name = json.isObject() ? core::string_member(json, "state") : "";
    const auto found = std::find(state_names.begin(), state_names.end(), name);
    if (found == state_names.end()) {
        return core::failure(core::error_code::invalid_argument, "record of a move lacks a valid state");
    }
    move_record value{.generation = static_cast<std::uint64_t>(core::integer_member(json, "generation")),
                      .from_version = core::string_member(json, "from_version"),
                      .to_version = core::string_member(json, "to_version"),
                      .state = static_cast<move_state>(found - state_names.begin()),
                      .step = static_cast<int>(core::integer_member(json, "step")),
                      .begun = time_member(json, "begun_unix_ms"),
                      .step_since = time_member(json, "step_since_unix_ms"),
                      .finished = time_member(json, "finished_unix_ms"),
                      .reason = core::string_member(json, "reason")};
    value.late_since = time_member(json, "late_since_unix_ms");
    value.driver = core::string_member(json, "driver");
    value.driver_until = time_member(json, "driver_until_unix_ms");
    value.late_deadline = time_member(json, "late_deadline_unix_ms");
    for (const Json::Value& route : json["cleared"]) {
        if (route.isString()) {
            value.cleared.insert(route.asString());
        }
    }
    if (json["fault"].isObject()) {
        value.fault = fault_from_json(json["fault"]);
    }
    return value;
}

std::string record_key(const std::string& move_id)
{
    return record_prefix + move_id;
}

} // namespace samphireway::moves
