#include "routing/prefix/prefix_table.h"

#include <algorithm>
#include <cstdlib>

namespace samphireway::routing {

namespace {

// With 8 bytes for the hash and about 40 for the map node, a full table takes about 200 KB per engine.
constexpr std::size_t maximum_prefixes = 4096;
// Events arrive up to a few seconds late, so a removal that arrives within this time after a request is
// taken to have happened before that request.
constexpr std::chrono::milliseconds event_lag{3000};
constexpr double reduced_confidence = 0.5;

} // namespace

void prefix_table::insert_prefix(engine_cache& cache, std::uint64_t prefix, core::steady_time now)
{
    cache.prefixes[prefix] = prefix_state{.last_stored = now};
    if (cache.prefixes.size() > maximum_prefixes) {
        const auto oldest = std::min_element(cache.prefixes.begin(), cache.prefixes.end(),
                                             [](const auto& left, const auto& right) {
                                                 return left.second.last_stored < right.second.last_stored;
                                             });
        cache.prefixes.erase(oldest);
    }
}

void prefix_table::record_request(const std::string& upstream, std::uint64_t prefix, core::steady_time now)
{
    const std::lock_guard lock(this->mutex);
    insert_prefix(this->engines[upstream], prefix, now);
}

void prefix_table::apply(const std::string& upstream, const std::vector<cache_event>& events,
                         core::steady_time now)
{
    const std::lock_guard lock(this->mutex);
    engine_cache& cache = this->engines[upstream];
    for (const cache_event& event : events) {
        const bool is_gap = cache.last_sequence != 0 && event.sequence != cache.last_sequence + 1;
        if (is_gap) {
            for (auto& [prefix, state] : cache.prefixes) {
                state.may_be_removed = now - state.last_stored > event_lag;
            }
        }
        cache.last_sequence = event.sequence;
        if (event.is_stored) {
            insert_prefix(cache, event.block, now);
            continue;
        }
        const auto found = cache.prefixes.find(event.block);
        if (found != cache.prefixes.end() && now - found->second.last_stored > event_lag) {
            cache.prefixes.erase(found);
        }
    }
}

std::uint64_t prefix_table::last_sequence(const std::string& upstream) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->engines.find(upstream);
    return found == this->engines.end() ? 0 : found->second.last_sequence;
}

double prefix_table::confidence(const std::string& upstream, std::uint64_t prefix) const
{
    const std::lock_guard lock(this->mutex);
    const auto engine = this->engines.find(upstream);
    if (engine == this->engines.end()) {
        return 0.0;
    }
    const auto found = engine->second.prefixes.find(prefix);
    if (found == engine->second.prefixes.end()) {
        return 0.0;
    }
    return found->second.may_be_removed ? reduced_confidence : 1.0;
}

std::vector<cache_event> cache_events_from_json(const Json::Value& json)
{
    constexpr int hexadecimal = 16;
    std::vector<cache_event> events;
    if (!json.isObject() || !json["events"].isArray()) {
        return events;
    }
    for (const Json::Value& entry : json["events"]) {
        const std::string kind = core::string_member(entry, "kind");
        const std::string block = core::string_member(entry, "block");
        if (block.empty() || (kind != "stored" && kind != "removed")) {
            continue;
        }
        events.push_back(
            cache_event{.sequence = static_cast<std::uint64_t>(core::integer_member(entry, "sequence")),
                        .is_stored = kind == "stored",
                        .block = std::strtoull(block.c_str(), nullptr, hexadecimal)});
    }
    return events;
}

} // namespace samphireway::routing
