#include "configuration/lists/lists.h"

#include <algorithm>
#include <cctype>
#include <optional>
#include <set>

namespace samphireway::configuration {

namespace {

constexpr std::size_t maximum_id_length = 64;
constexpr int maximum_port = 65535;
// A key rotation needs two keys; more allow callers of one plan to rotate at different times.
constexpr std::size_t maximum_key_hashes = 16;

tl::unexpected<core::error> invalid(const std::string& field, const std::string& expected)
{
    return core::failure(core::error_code::invalid_argument, "field " + field + ": expected " + expected);
}

bool is_key_hash(const std::string& text)
{
    constexpr std::size_t sha256_digits = 64;
    return text.size() == sha256_digits && text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

std::optional<std::string> find_unknown_member(const Json::Value& json, const std::set<std::string>& known)
{
    for (const std::string& name : json.getMemberNames()) {
        if (!known.contains(name)) {
            return name;
        }
    }
    return std::nullopt;
}

core::result<void> check_members(const Json::Value& json, const std::set<std::string>& known)
{
    if (!json.isObject()) {
        return invalid("(whole)", "a JSON object");
    }
    const std::optional<std::string> unknown = find_unknown_member(json, known);
    if (unknown) {
        return invalid(*unknown, "a known field name");
    }
    return {};
}

/** Checks that those of the named members that are present have the expected type. */
core::result<void> check_types(const Json::Value& json, const std::vector<const char*>& names,
                               bool (Json::Value::*has_type)() const, const std::string& expected)
{
    for (const char* name : names) {
        if (json.isMember(name) && !(json[name].*has_type)()) {
            return invalid(name, expected);
        }
    }
    return {};
}

core::result<std::vector<std::string>> read_strings(const Json::Value& json, const std::string& field)
{
    std::vector<std::string> strings;
    if (json.isNull()) {
        return strings;
    }
    if (!json.isArray()) {
        return invalid(field, "a list of strings");
    }
    for (const Json::Value& entry : json) {
        if (!entry.isString()) {
            return invalid(field, "a list of strings");
        }
        strings.push_back(entry.asString());
    }
    return strings;
}

core::result<std::vector<served_model>> read_models(const Json::Value& json)
{
    std::vector<served_model> models;
    if (!json.isNull() && !json.isArray()) {
        return invalid("models", "a list of objects with model and version");
    }
    for (const Json::Value& entry : json) {
        const std::string model = core::string_member(entry, "model");
        const std::string version = core::string_member(entry, "version");
        if (model.empty() || version.empty()) {
            return invalid("models", "entries with model and version");
        }
        models.push_back(served_model{.model = model, .version = version});
    }
    return models;
}

Json::Value strings_to_json(const std::vector<std::string>& strings)
{
    Json::Value json(Json::arrayValue);
    for (const std::string& entry : strings) {
        json.append(entry);
    }
    return json;
}

} // namespace

bool is_valid_id(const std::string& text)
{
    const auto is_allowed = [](char character) {
        return std::isalnum(static_cast<unsigned char>(character)) != 0 || character == '-' ||
               character == '_';
    };
    return !text.empty() && text.size() <= maximum_id_length &&
           std::all_of(text.begin(), text.end(), is_allowed);
}

core::result<plan> plan_from_json(const std::string& id, const Json::Value& json)
{
    const core::result<void> members = check_members(json, {"workspace", "key_hashes", "enabled"});
    if (!members) {
        return tl::unexpected(members.error());
    }
    const core::result<void> types = check_types(json, {"enabled"}, &Json::Value::isBool, "true or false");
    if (!types) {
        return tl::unexpected(types.error());
    }
    plan parsed{.id = id, .workspace = core::string_member(json, "workspace")};
    if (!is_valid_id(id)) {
        return invalid("id", "1 to 64 letters, digits, - or _");
    }
    if (!is_valid_id(parsed.workspace)) {
        return invalid("workspace", "1 to 64 letters, digits, - or _");
    }
    core::result<std::vector<std::string>> hashes = read_strings(json["key_hashes"], "key_hashes");
    if (!hashes) {
        return tl::unexpected(hashes.error());
    }
    if (hashes->size() > maximum_key_hashes || !std::all_of(hashes->begin(), hashes->end(), is_key_hash)) {
        return invalid("key_hashes", "up to 16 SHA-256 hashes of 64 lowercase hexadecimal digits");
    }
    parsed.key_hashes = std::move(*hashes);
    parsed.is_enabled = core::boolean_member(json, "enabled", true);
    return parsed;
}

core::result<std::vector<access_entry>> access_from_json(const Json::Value& json)
{
    if (!json.isArray()) {
        return invalid("access", "a list");
    }
    std::vector<access_entry> entries;
    for (const Json::Value& entry : json) {
        const core::result<void> members = check_members(entry, {"upstream", "model", "version"});
        if (!members) {
            return tl::unexpected(members.error());
        }
        const core::result<void> types =
            check_types(entry, {"upstream", "model", "version"}, &Json::Value::isString, "a string");
        if (!types) {
            return tl::unexpected(types.error());
        }
        access_entry parsed{.upstream = core::string_member(entry, "upstream", "*"),
                            .model = core::string_member(entry, "model"),
                            .version = core::string_member(entry, "version", "*")};
        if (parsed.model.empty()) {
            return invalid("model", "a model or service name");
        }
        entries.push_back(std::move(parsed));
    }
    return entries;
}

core::result<upstream> upstream_from_json(const std::string& id, const Json::Value& json)
{
    const core::result<void> members = check_members(
        json, {"kind", "address", "port", "availability_zone", "models", "agreed_requests", "agreed_tokens",
               "orders_fenced", "leaving", "tls", "service", "idempotent_prefixes"});
    if (!members) {
        return tl::unexpected(members.error());
    }
    for (const core::result<void>& types :
         {check_types(json, {"orders_fenced", "leaving", "tls"}, &Json::Value::isBool, "true or false"),
          check_types(json, {"port", "agreed_requests", "agreed_tokens"}, &Json::Value::isInt64,
                      "an integer"),
          check_types(json, {"kind", "address", "availability_zone", "service"}, &Json::Value::isString,
                      "a string")}) {
        if (!types) {
            return tl::unexpected(types.error());
        }
    }
    if (!is_valid_id(id)) {
        return invalid("id", "1 to 64 letters, digits, - or _");
    }
    const std::string kind = core::string_member(json, "kind", "engine");
    if (kind != "engine" && kind != "service") {
        return invalid("kind", "engine or service");
    }
    upstream parsed{.id = id};
    parsed.kind = kind == "engine" ? upstream_kind::engine : upstream_kind::service;
    parsed.address = core::string_member(json, "address");
    parsed.port = static_cast<int>(core::integer_member(json, "port"));
    if (parsed.address.empty()) {
        return invalid("address", "an IP address");
    }
    if (parsed.port < 1 || parsed.port > maximum_port) {
        return invalid("port", "1 to 65535");
    }
    parsed.availability_zone = core::string_member(json, "availability_zone");
    core::result<std::vector<served_model>> models = read_models(json["models"]);
    if (!models) {
        return tl::unexpected(models.error());
    }
    parsed.models = std::move(*models);
    parsed.agreed_requests = core::integer_member(json, "agreed_requests");
    parsed.agreed_tokens = core::integer_member(json, "agreed_tokens");
    if (parsed.agreed_requests < 0) {
        return invalid("agreed_requests", "zero or more");
    }
    if (parsed.agreed_tokens < 0) {
        return invalid("agreed_tokens", "zero or more");
    }
    parsed.orders_fenced = core::boolean_member(json, "orders_fenced");
    parsed.is_leaving = core::boolean_member(json, "leaving");
    parsed.uses_tls = core::boolean_member(json, "tls");
    parsed.service = core::string_member(json, "service");
    if (parsed.kind == upstream_kind::service && !is_valid_id(parsed.service)) {
        return invalid("service", "the name of the service");
    }
    core::result<std::vector<std::string>> prefixes =
        read_strings(json["idempotent_prefixes"], "idempotent_prefixes");
    if (!prefixes) {
        return tl::unexpected(prefixes.error());
    }
    parsed.idempotent_prefixes = std::move(*prefixes);
    return parsed;
}

Json::Value to_json(const plan& value)
{
    Json::Value json(Json::objectValue);
    json["workspace"] = value.workspace;
    json["key_hashes"] = strings_to_json(value.key_hashes);
    json["enabled"] = value.is_enabled;
    return json;
}

Json::Value to_json(const std::vector<access_entry>& value)
{
    Json::Value json(Json::arrayValue);
    for (const access_entry& entry : value) {
        Json::Value& written = json.append(Json::Value(Json::objectValue));
        written["upstream"] = entry.upstream;
        written["model"] = entry.model;
        written["version"] = entry.version;
    }
    return json;
}

Json::Value to_json(const upstream& value)
{
    Json::Value json(Json::objectValue);
    json["kind"] = value.kind == upstream_kind::engine ? "engine" : "service";
    json["address"] = value.address;
    json["port"] = value.port;
    json["availability_zone"] = value.availability_zone;
    json["models"] = Json::Value(Json::arrayValue);
    for (const served_model& served : value.models) {
        Json::Value& written = json["models"].append(Json::Value(Json::objectValue));
        written["model"] = served.model;
        written["version"] = served.version;
    }
    json["agreed_requests"] = static_cast<Json::Int64>(value.agreed_requests);
    json["agreed_tokens"] = static_cast<Json::Int64>(value.agreed_tokens);
    json["orders_fenced"] = value.orders_fenced;
    json["leaving"] = value.is_leaving;
    json["tls"] = value.uses_tls;
    json["service"] = value.service;
    json["idempotent_prefixes"] = strings_to_json(value.idempotent_prefixes);
    return json;
}

} // namespace samphireway::configuration
