#include "gateway/control/upstream_tracker.h"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

namespace samphireway::gateway {

namespace {

// Running upstreams register again within two seconds after the object API is reachable again.
constexpr std::chrono::milliseconds registration_time{2200};
// Upstreams and operators write again what a restored object API has lost, and the entry of an upstream that
// has ended expires, within some seconds.
constexpr std::chrono::milliseconds rewriting_time{10000};

} // namespace

upstream_tracker::upstream_tracker(upstream_reader reader_to_use) : read(std::move(reader_to_use)) {}

bool upstream_tracker::apply(const followed_batch& received, core::steady_time now)
{
    if (received.is_after_restore) {
        this->doubt_until = now + rewriting_time;
        this->departed.record_restore();
        this->hold_removals(now); // The copy may lack what the upstreams registered since.
    }
    if (!this->is_connected) {
        this->set_connected(received.connected_since.value_or(now));
    }
    else if (received.connected_since) {
        this->hold_removals(*received.connected_since);
    }
    bool has_changed = false;
    std::set<std::string> seen;
    std::set<std::string> seen_unusable;
    for (const platform::object& object : received.batch.changed) {
        const std::string id = platform::object_name(object.key);
        if (object.value.isNull()) {
            has_changed = this->unusable.erase(id) > 0 || has_changed;
            this->doubted.erase(id);
            has_changed = this->remove(id, now) || has_changed;
            continue;
        }
        core::result<upstream> entry = this->read(object);
        if (!entry) {
            seen_unusable.insert(id);
            this->doubted.erase(id);
            has_changed = this->set_unusable(id, entry.error().message) || has_changed;
            continue;
        }
        has_changed = this->unusable.erase(id) > 0 || has_changed;
        if (!received.is_after_restore || !this->is_older_than_known(*entry)) {
            seen.insert(id);
            has_changed = this->accept(std::move(*entry), received, now) || has_changed;
        }
    }
    if (received.is_full_list) {
        std::vector<std::string> missing;
        for (const auto& [id, known] : this->entries) {
            if (!seen.contains(id)) {
                missing.push_back(id);
            }
        }
        for (const std::string& id : missing) {
            has_changed = this->remove(id, now) || has_changed;
        }
        std::erase_if(this->doubted, [&seen](const auto& known) { return !seen.contains(known.first); });
        has_changed = std::erase_if(this->unusable,
                                    [&seen_unusable](const auto& known) {
                                        return !seen_unusable.contains(known.first);
                                    }) > 0 ||
                      has_changed;
    }
    return has_changed;
}

void upstream_tracker::set_disconnected(core::steady_time now)
{
    this->is_connected = false;
    for (auto& [id, known] : this->entries) {
        if (known.missing_until) {
            known.missing_until = now + registration_time; // The upstream could not register again yet.
        }
    }
}

void upstream_tracker::set_connected(core::steady_time since)
{
    this->is_connected = true;
    this->hold_removals(since);
}

void upstream_tracker::hold_removals(core::steady_time connected_since)
{
    this->hold_until = std::max(this->hold_until, connected_since + registration_time);
}

bool upstream_tracker::expire(core::steady_time now)
{
    if (!this->is_connected) {
        return false;
    }
    std::vector<std::string> expired;
    for (const auto& [id, known] : this->entries) {
        if (known.missing_until && now >= *known.missing_until) {
            expired.push_back(id);
        }
    }
    for (const std::string& id : expired) {
        this->drop(id, "missing_after_outage");
    }
    bool has_changed = !expired.empty();
    if (now >= this->doubt_until) {
        for (auto& [id, entry] : std::exchange(this->doubted, {})) {
            has_changed = this->set(std::move(entry), "doubted", {}) || has_changed;
        }
    }
    return has_changed;
}

std::shared_ptr<const upstream_table> upstream_tracker::table() const
{
    auto result = std::make_shared<upstream_table>();
    result->unusable_entries = this->unusable.size();
    for (const auto& [id, known] : this->entries) {
        result->by_service[known.entry->service].push_back(known.entry);
    }
    return result;
}

bool upstream_tracker::is_older_than_known(const upstream& entry) const
{
    const auto known = this->entries.find(entry.id);
    return known != this->entries.end() && entry.started_at_ms < known->second.entry->started_at_ms;
}

bool upstream_tracker::accept(upstream entry, const followed_batch& received, core::steady_time now)
{
    const bool is_doubted = now < this->doubt_until && !this->entries.contains(entry.id) &&
                            this->departed.left_before_restore(entry);
    if (is_doubted) {
        core::log_event(core::log_level::warning, "upstream_doubted",
                        {{"upstream", entry.id},
                         {"started_at_ms", static_cast<long long>(entry.started_at_ms)},
                         {"source", received.source},
                         {"revision", static_cast<long long>(received.batch.revision)}});
        this->doubted[entry.id] = std::move(entry);
        return false;
    }
    this->doubted.erase(entry.id);
    return this->set(std::move(entry), received.source, received.batch.position());
}

bool upstream_tracker::set(upstream entry, std::string_view source, platform::store_position position)
{
    entry.is_draining = entry.is_draining || this->departed.was_draining(entry);
    this->departed.remove(entry.id);
    tracked& known = this->entries[entry.id];
    const bool is_same_process = known.entry != nullptr && entry.started_at_ms != 0 &&
                                 incarnation_of(*known.entry) == incarnation_of(entry);
    if (is_same_process && known.entry->is_draining && !entry.is_draining) {
        entry.is_draining = true;
    }
    known.missing_until.reset();
    if (known.entry != nullptr && *known.entry == entry) {
        return false;
    }
    core::log_event(core::log_level::info, "upstream_known",
                    {{"upstream", entry.id},
                     {"service", entry.service},
                     {"address", entry.address},
                     {"version", entry.version},
                     {"draining", entry.is_draining ? "true" : "false"},
                     {"started_at_ms", static_cast<long long>(entry.started_at_ms)},
                     {"source", source},
                     {"generation", static_cast<long long>(position.generation)},
                     {"revision", static_cast<long long>(position.revision)}});
    known.entry = std::make_shared<const upstream>(std::move(entry));
    return true;
}

bool upstream_tracker::set_unusable(const std::string& id, const std::string& reason)
{
    std::string& known = this->unusable[id];
    if (known == reason) {
        return false; // The entry may change many times a minute.
    }
    known = reason;
    core::log_event(core::log_level::warning, "upstream_entry_unusable",
                    {{"upstream", id}, {"reason", reason}});
    this->drop(id, "unusable_entry");
    return true;
}

bool upstream_tracker::remove(const std::string& id, core::steady_time now)
{
    const auto found = this->entries.find(id);
    if (found == this->entries.end()) {
        return false;
    }
    if (now < this->hold_until && !found->second.entry->is_draining) {
        found->second.missing_until = this->hold_until;
        core::log_event(core::log_level::info, "upstream_missing", {{"upstream", id}});
        return false;
    }
    return this->drop(id, "removed");
}

bool upstream_tracker::drop(const std::string& id, std::string_view reason)
{
    const auto known = this->entries.extract(id);
    if (known.empty()) {
        return false;
    }
    this->departed.add(*known.mapped().entry);
    core::log_event(core::log_level::info, "upstream_gone", {{"upstream", id}, {"reason", reason}});
    return true;
}

} // namespace samphireway::gateway
