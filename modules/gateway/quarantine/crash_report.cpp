#include "gateway/quarantine/crash_report.h"

#include <algorithm>

namespace samphireway::gateway {

namespace {

// Bounds of a stored report, a quarter of the largest value that the object API takes.
constexpr std::size_t maximum_crashes = 64;
constexpr std::size_t maximum_parts = 256;
constexpr std::size_t maximum_listed_parts = 1024;
constexpr std::size_t maximum_id_bytes = 64;

std::set<std::string> read_texts(const Json::Value& list, std::size_t maximum)
{
    std::set<std::string> texts;
    if (!list.isArray()) {
        return texts;
    }
    for (const Json::Value& entry : list) {
        if (entry.isString() && texts.size() < maximum) {
            texts.insert(entry.asString());
        }
    }
    return texts;
}

Json::Value write_texts(const std::set<std::string>& texts, std::size_t maximum)
{
    Json::Value list(Json::arrayValue);
    for (const std::string& text : texts) {
        if (list.size() < maximum) {
            list.append(text);
        }
    }
    return list;
}

} // namespace

void crash_report::add(const std::string& crash_id, const prompt_parts& prompt, core::wall_time now)
{
    auto found = std::find_if(this->crashes.begin(), this->crashes.end(),
                              [&crash_id](const upstream_crash& entry) { return entry.id == crash_id; });
    if (found == this->crashes.end()) {
        if (this->crashes.size() >= maximum_crashes) {
            this->crashes.erase(this->crashes.begin());
        }
        this->crashes.push_back({.id = crash_id, .seen_at = now, .parts = {}});
        found = std::prev(this->crashes.end());
    }
    for (const std::string& part : prompt) {
        if (part.size() <= maximum_id_bytes && found->parts.size() < maximum_parts) {
            found->parts.insert(part);
        }
    }
}

bool crash_report::accuses(const std::string& part) const
{
    return std::any_of(this->crashes.begin(), this->crashes.end(),
                       [&part](const upstream_crash& entry) { return entry.parts.contains(part); });
}

bool crash_report::expire(core::wall_time before)
{
    return std::erase_if(this->crashes,
                         [before](const upstream_crash& entry) { return entry.seen_at < before; }) > 0;
}

Json::Value to_json(const crash_report& value)
{
    Json::Value json;
    json["crashes"] = Json::Value(Json::arrayValue);
    for (const upstream_crash& crash : value.crashes) {
        Json::Value entry;
        entry["id"] = crash.id;
        entry["seen_at_unix_ms"] = static_cast<Json::Int64>(core::to_unix_ms(crash.seen_at));
        entry["parts"] = write_texts(crash.parts, maximum_parts);
        json["crashes"].append(std::move(entry));
    }
    json["answered"] = write_texts(value.answered, maximum_listed_parts);
    json["unanswered"] = write_texts(value.unanswered, maximum_listed_parts);
    json["acquitted"] = Json::Value(Json::objectValue);
    for (const auto& [part, crashes] : value.acquitted) {
        if (json["acquitted"].size() < maximum_listed_parts) {
            json["acquitted"][part] = write_texts(crashes, maximum_crashes);
        }
    }
    return json;
}

core::result<crash_report> crash_report_from_json(const Json::Value& json)
{
    if (!json.isObject()) {
        return core::failure(core::error_code::invalid_argument,
                             "the report of crashes is not a JSON object");
    }
    crash_report report;
    report.answered = read_texts(json["answered"], maximum_listed_parts);
    report.unanswered = read_texts(json["unanswered"], maximum_listed_parts);
    if (json["acquitted"].isObject()) {
        for (const std::string& part : json["acquitted"].getMemberNames()) {
            if (report.acquitted.size() < maximum_listed_parts) {
                report.acquitted[part] = read_texts(json["acquitted"][part], maximum_crashes);
            }
        }
    }
    if (!json["crashes"].isArray()) {
        return report;
    }
    for (const Json::Value& entry : json["crashes"]) {
        if (!entry.isObject() || report.crashes.size() >= maximum_crashes) {
            continue;
        }
        upstream_crash crash{.id = core::string_member(entry, "id"),
                             .seen_at = core::from_unix_ms(core::integer_member(entry, "seen_at_unix_ms")),
                             .parts = read_texts(entry["parts"], maximum_parts)};
        if (!crash.id.empty()) {
            report.crashes.push_back(std::move(crash));
        }
    }
    return report;
}

} // namespace samphireway::gateway
