#include "configuration/lists/move_entry.h"

#include "configuration/lists/lists.h"

#include <set>

namespace samphireway::configuration {

namespace {

constexpr std::size_t maximum_version_length = 128;

tl::unexpected<core::error> invalid(const std::string& field, const std::string& expected)
{
    return core::failure(core::error_code::invalid_argument, "field " + field + ": expected " + expected);
}

bool is_version(const std::string& text)
{
    return !text.empty() && text != "*" && text.size() <= maximum_version_length;
}

} // namespace

core::result<move_entry> move_from_json(const std::string& id, const Json::Value& json)
{
    static const std::set<std::string> known{"model",      "from_version", "to_version", "deadline_unix_ms",
                                             "generation", "aborted"};
    if (!json.isObject()) {
        return invalid("(whole)", "a JSON object");
    }
    for (const std::string& name : json.getMemberNames()) {
        if (!known.contains(name)) {
            return invalid(name, "a known field name");
        }
    }
    move_entry parsed{.id = id,
                      .model = core::string_member(json, "model"),
                      .from_version = core::string_member(json, "from_version"),
                      .to_version = core::string_member(json, "to_version"),
                      .deadline = core::from_unix_ms(core::integer_member(json, "deadline_unix_ms"))};
    const std::int64_t generation = core::integer_member(json, "generation", 1);
    if (!is_valid_id(id)) {
        return invalid("id", "1 to 64 letters, digits, - or _");
    }
    if (parsed.model.empty()) {
        return invalid("model", "a model name");
    }
    if (!is_version(parsed.from_version) || !is_version(parsed.to_version)) {
        return invalid("from_version, to_version", "1 to 128 characters other than *");
    }
    if (parsed.from_version == parsed.to_version) {
        return invalid("to_version", "a version other than from_version");
    }
    if (parsed.deadline <= core::wall_time{}) {
        return invalid("deadline_unix_ms", "milliseconds since the Unix epoch");
    }
    if (generation < 1) {
        return invalid("generation", "one or more");
    }
    parsed.generation = static_cast<std::uint64_t>(generation);
    parsed.is_aborted = core::boolean_member(json, "aborted");
    return parsed;
}

Json::Value to_json(const move_entry& value)
{
    Json::Value json(Json::objectValue);
    json["model"] = value.model;
    json["from_version"] = value.from_version;
    json["to_version"] = value.to_version;
    json["deadline_unix_ms"] = static_cast<Json::Int64>(core::to_unix_ms(value.deadline));
    json["generation"] = static_cast<Json::UInt64>(value.generation);
    json["aborted"] = value.is_aborted;
    return json;
}

core::result<void> check_move_edit(const move_entry& before, const move_entry& after)
{
    const bool is_same_move = before.model == after.model && before.from_version == after.from_version &&
                              before.to_version == after.to_version;
    if (after.generation < before.generation) {
        return core::failure(core::error_code::conflict,
                             "field generation: expected " + std::to_string(before.generation) + " or more");
    }
    if (after.generation > before.generation) {
        return {};
    }
    if (!is_same_move) {
        return core::failure(core::error_code::conflict,
                             "a change of model or versions needs a higher generation");
    }
    if (before.is_aborted && !after.is_aborted) {
        return core::failure(core::error_code::conflict,
                             "an aborted move starts again only with a higher generation");
    }
    return {};
}

} // namespace samphireway::configuration
