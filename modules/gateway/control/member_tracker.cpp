#include "gateway/control/member_tracker.h"

#include "gateway/budget/ledger_writers.h"

#include <algorithm>

namespace samphireway::gateway {

namespace {

// Another process of the same node writes the entry at most once or twice at the same time.
constexpr int maximum_write_attempts = 4;
// Far above the capacity of any VM; a larger stored number is treated as this one.
constexpr double maximum_capacity = 1e6;
// Holders of processes beyond these stay outstanding until their own node closes them.
constexpr std::size_t maximum_ended_processes = 1024;

} // namespace

Json::Value to_json(const member& entry)
{
    Json::Value json;
    json["address"] = entry.address;
    json["port"] = entry.port;
    json["token"] = entry.token;
    json["process"] = entry.process;
    json["availability_zone"] = entry.availability_zone;
    json["capacity"] = entry.capacity;
    return json;
}

core::result<member> member_from_json(const std::string& key, const Json::Value& value)
{
    constexpr std::int64_t maximum_port = 65535;
    member entry{.id = platform::object_name(key), .address = {}, .port = 0, .token = {}};
    const std::int64_t port = value.isObject() ? core::integer_member(value, "port") : 0;
    if (port <= 0 || port > maximum_port) {
        return core::failure(core::error_code::invalid_argument,
                             "the port of the node is missing or out of range");
    }
    entry.address = core::string_member(value, "address");
    entry.port = static_cast<std::uint16_t>(port);
    entry.token = core::string_member(value, "token");
    if (entry.address.empty() || entry.token.empty()) {
        return core::failure(core::error_code::invalid_argument,
                             "the address or the token of the node is missing");
    }
    entry.process = core::string_member(value, "process");
    entry.availability_zone = core::string_member(value, "availability_zone");
    const Json::Value& capacity = value["capacity"];
    if (capacity.isNumeric() && capacity.asDouble() > 0) {
        entry.capacity = std::min(capacity.asDouble(), maximum_capacity);
    }
    return entry;
}

core::result<void> store_member(const platform::object_store& store, const member& entry)
{
    const std::string key = members_prefix + entry.id;
    platform::object_version expected = 0;
    for (int attempt = 0; attempt < maximum_write_attempts; ++attempt) {
        const core::result<platform::put_outcome> outcome = store.put(key, to_json(entry), expected);
        if (!outcome) {
            return tl::unexpected(outcome.error());
        }
        if (outcome->applied) {
            return {};
        }
        expected = outcome->current ? outcome->current->version : 0;
    }
    return core::failure(core::error_code::conflict, "other writers kept changing the entry of this node");
}

bool has_entry_of(const followed_batch& received, const member& entry)
{
    return std::any_of(received.batch.changed.begin(), received.batch.changed.end(),
                       [&entry](const platform::object& object) {
                           const core::result<member> known = member_from_json(object.key, object.value);
                           return known && *known == entry;
                       });
}

std::shared_ptr<const member_list> member_tracker::apply(const followed_batch& received)
{
    const std::map<std::string, member> before = this->entries;
    if (received.is_full_list && !received.is_after_restore) {
        this->entries.clear();
    }
    for (const platform::object& object : received.batch.changed) {
        const std::string id = platform::object_name(object.key);
        if (object.value.isNull()) {
            this->entries.erase(id);
            continue;
        }
        core::result<member> entry = member_from_json(object.key, object.value);
        if (!entry) {
            core::log_event(core::log_level::warning, "member_entry_unusable",
                            {{"node", id}, {"reason", entry.error().message}});
            continue;
        }
        if (!this->ended_processes.contains(entry->process)) {
            this->entries[id] = std::move(*entry);
        }
    }
    this->record_changes(before);
    auto list = std::make_shared<member_list>();
    for (const auto& [id, entry] : this->entries) {
        list->members.push_back(entry);
    }
    list->ledger_writers = choose_ledger_writers(list->members, this->maximum_ledger_writers);
    list->ended_processes = this->ended_processes;
    return list;
}

void member_tracker::record_changes(const std::map<std::string, member>& before)
{
    for (const auto& [id, entry] : this->entries) {
        const auto earlier = before.find(id);
        if (earlier != before.end() && earlier->second == entry) {
            continue;
        }
        core::log_event(core::log_level::info, "member_known", {{"node", id}, {"address", entry.address}});
        const bool is_restarted = earlier != before.end() && !earlier->second.process.empty() &&
                                  earlier->second.process != entry.process;
        if (is_restarted && this->ended_processes.size() < maximum_ended_processes) {
            this->ended_processes.insert(earlier->second.process);
        }
    }
}

} // namespace samphireway::gateway
