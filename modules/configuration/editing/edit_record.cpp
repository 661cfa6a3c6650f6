#include "configuration/editing/edit_record.h"

#include "core/core.h"

#include <set>

namespace samphireway::configuration {

namespace {

// The records take about 10 KB of an object of at most 1 MB, and a retry of an edit comes within far
// fewer than 128 other edits.
constexpr Json::ArrayIndex maximum_records = 128;

} // namespace

void append_edit_record(Json::Value& object, const edit_record& record)
{
    Json::Value records(Json::arrayValue);
    const Json::Value& previous = object[edits_member];
    const Json::ArrayIndex count = previous.isArray() ? previous.size() : 0;
    for (Json::ArrayIndex index = count >= maximum_records ? count - maximum_records + 1 : 0; index < count;
         ++index) {
        records.append(previous[index]);
    }
    Json::Value& written = records.append(Json::Value(Json::objectValue));
    written["k"] = record.edit_id;
    written["h"] = record.request_hash;
    written["g"] = static_cast<Json::UInt64>(record.written_generation);
    written["e"] = record.entry_id;
    written["o"] = record.operator_name;
    written["f"] = record.fields;
    object[edits_member] = std::move(records);
}

edit_record find_edit_record(const Json::Value& object, const std::string& edit_id)
{
    const Json::Value& records = object[edits_member];
    for (Json::ArrayIndex index = 0; records.isArray() && index < records.size(); ++index) {
        const Json::Value& entry = records[index];
        if (core::string_member(entry, "k") == edit_id) {
            return {.edit_id = edit_id,
                    .request_hash = core::string_member(entry, "h"),
                    .written_generation = static_cast<generation>(core::integer_member(entry, "g"))};
        }
    }
    return {};
}

Json::Value edits_since(const Json::Value& object, generation seen)
{
    Json::Value shown(Json::arrayValue);
    const Json::Value& records = object[edits_member];
    for (Json::ArrayIndex index = 0; records.isArray() && index < records.size(); ++index) {
        const Json::Value& entry = records[index];
        if (static_cast<generation>(core::integer_member(entry, "g")) <= seen) {
            continue;
        }
        Json::Value& written = shown.append(Json::Value(Json::objectValue));
        written["generation"] = entry["g"];
        written["entry"] = entry["e"];
        written["operator"] = entry["o"];
        written["fields"] = entry["f"];
    }
    return shown;
}

Json::Value changed_fields(const Json::Value& before, const Json::Value& after)
{
    Json::Value fields(Json::arrayValue);
    if (!before.isObject() || !after.isObject()) {
        if (before != after) {
            fields.append("(whole)");
        }
        return fields;
    }
    std::set<std::string> names;
    for (const Json::Value* side : {&before, &after}) {
        for (const std::string& name : side->getMemberNames()) {
            names.insert(name);
        }
    }
    for (const std::string& name : names) {
        if (before[name] != after[name]) {
            fields.append(name);
        }
    }
    return fields;
}

} // namespace samphireway::configuration
