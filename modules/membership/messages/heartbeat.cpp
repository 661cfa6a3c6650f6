#include "membership/messages/heartbeat.h"

#include <array>

namespace samphireway::membership {

namespace {

// Rumours after this number are ignored. The list of all peers of the largest fleet is shorter.
constexpr Json::ArrayIndex maximum_rumours = 1024;
constexpr std::size_t maximum_text_length = 128;
constexpr Json::ArrayIndex rumour_fields = 7;
constexpr int maximum_port = 65535;

constexpr std::array states{peer_state::joining, peer_state::live, peer_state::suspect, peer_state::gone,
                            peer_state::leaving};

bool is_text(const Json::Value& value)
{
    return value.isString() && !value.asString().empty() && value.asString().size() <= maximum_text_length;
}

bool is_port(const Json::Value& value)
{
    return value.isInt() && value.asInt() > 0 && value.asInt() <= maximum_port;
}

bool is_well_formed(const Json::Value& entry)
{
    return entry.isArray() && entry.size() == rumour_fields && is_text(entry[0]) && is_text(entry[1]) &&
           is_port(entry[2]) && is_text(entry[3]) && entry[4].isInt64() && entry[5].isUInt() &&
           entry[5].asUInt() < states.size() && entry[6].isUInt64();
}

std::string node_id_of(const std::string& incarnation)
{
    return incarnation.substr(0, incarnation.rfind('.'));
}

} // namespace

Json::Value to_json(const std::vector<rumour>& rumours)
{
    Json::Value json(Json::arrayValue);
    for (const rumour& entry : rumours) {
        Json::Value& written = json.append(Json::Value(Json::arrayValue));
        written.append(entry.subject.endpoint.identity.incarnation);
        written.append(entry.subject.endpoint.address);
        written.append(entry.subject.endpoint.port);
        written.append(entry.subject.availability_zone);
        written.append(static_cast<Json::Int64>(entry.subject.started_ms));
        written.append(static_cast<unsigned>(entry.state));
        written.append(static_cast<Json::UInt64>(entry.revision));
    }
    return json;
}

std::vector<rumour> rumours_from_json(const Json::Value& json)
{
    std::vector<rumour> rumours;
    if (!json.isArray()) {
        return rumours;
    }
    for (const Json::Value& entry : json) {
        if (rumours.size() == maximum_rumours) {
            break;
        }
        if (!is_well_formed(entry)) {
            continue;
        }
        rumour read;
        read.subject.endpoint.identity.incarnation = entry[0].asString();
        read.subject.endpoint.identity.id = node_id_of(entry[0].asString());
        read.subject.endpoint.address = entry[1].asString();
        read.subject.endpoint.port = entry[2].asInt();
        read.subject.availability_zone = entry[3].asString();
        read.subject.started_ms = entry[4].asInt64();
        read.state = states.at(entry[5].asUInt());
        read.revision = entry[6].asUInt64();
        rumours.push_back(std::move(read));
    }
    return rumours;
}

Json::Value to_json(const heartbeat& value)
{
    Json::Value json(Json::objectValue);
    json["a"] = value.self.endpoint.address;
    json["p"] = value.self.endpoint.port;
    json["z"] = value.self.availability_zone;
    json["b"] = static_cast<Json::Int64>(value.self.started_ms);
    json["g"] = value.configuration_digest;
    json["n"] = static_cast<Json::Int64>(value.requests_in_flight);
    if (value.revision > 0) {
        json["v"] = static_cast<Json::UInt64>(value.revision);
    }
    if (value.is_leaving) {
        json["l"] = true;
    }
    if (!value.rumours.empty()) {
        json["r"] = to_json(value.rumours);
    }
    return json;
}

core::result<heartbeat> heartbeat_from_json(const Json::Value& json)
{
    const auto invalid = [](const std::string& field) {
        return core::failure(core::error_code::invalid_argument,
                             "heartbeat: missing or invalid field " + field);
    };
    if (!json.isObject()) {
        return invalid("(whole)");
    }
    if (!is_text(json["a"])) {
        return invalid("a");
    }
    if (!is_port(json["p"])) {
        return invalid("p");
    }
    if (!is_text(json["z"])) {
        return invalid("z");
    }
    heartbeat read;
    read.self.endpoint.address = json["a"].asString();
    read.self.endpoint.port = json["p"].asInt();
    read.self.availability_zone = json["z"].asString();
    read.self.started_ms = core::integer_member(json, "b");
    read.configuration_digest = core::string_member(json, "g");
    read.requests_in_flight = core::integer_member(json, "n");
    read.revision = static_cast<std::uint64_t>(core::integer_member(json, "v"));
    read.is_leaving = core::boolean_member(json, "l");
    read.rumours = rumours_from_json(json["r"]);
    return read;
}

} // namespace samphireway::membership
