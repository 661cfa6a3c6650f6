#include "engine/prefix_cache.h"

#include <algorithm>

namespace samphireway::standin {

namespace {

constexpr std::size_t maximum_events = 4096;

std::vector<std::uint64_t> block_hashes(const std::string& prompt)
{
    std::vector<std::uint64_t> hashes;
    std::uint64_t previous = 0;
    for (std::size_t start = 0; start < prompt.size(); start += prefix_cache::block_bytes) {
        const std::string block = prompt.substr(start, prefix_cache::block_bytes);
        // Engines cache whole blocks: a partial last block counts only if it is also the first.
        if (start > 0 && block.size() < prefix_cache::block_bytes) {
            break;
        }
        previous = core::hash64(start == 0 ? block : core::to_hex(previous) + block);
        hashes.push_back(previous);
    }
    return hashes;
}

} // namespace

prefix_cache::prefix_cache(std::int64_t capacity_tokens)
    : maximum_blocks(static_cast<std::size_t>(std::max<std::int64_t>(0, capacity_tokens / tokens_per_block)))
{
}

void prefix_cache::add_event(bool is_stored, std::uint64_t block, core::steady_time now)
{
    ++this->sequence;
    this->event_log.push_back(
        cache_event{.sequence = this->sequence, .is_stored = is_stored, .block = block, .time = now});
    if (this->event_log.size() > maximum_events) {
        this->event_log.pop_front();
    }
}

bool prefix_cache::touch(std::uint64_t block, core::steady_time now)
{
    const auto found = this->blocks.find(block);
    if (found != this->blocks.end()) {
        this->recently_used.splice(this->recently_used.begin(), this->recently_used, found->second);
        return true;
    }
    if (this->maximum_blocks == 0) {
        return false;
    }
    if (this->blocks.size() >= this->maximum_blocks) {
        this->add_event(false, this->recently_used.back(), now);
        this->blocks.erase(this->recently_used.back());
        this->recently_used.pop_back();
    }
    this->recently_used.push_front(block);
    this->blocks.emplace(block, this->recently_used.begin());
    this->add_event(true, block, now);
    return false;
}

std::int64_t prefix_cache::use(const std::string& prompt, core::steady_time now)
{
    const std::lock_guard lock(this->mutex);
    std::int64_t cached_blocks = 0;
    bool is_prefix_cached = true;
    for (const std::uint64_t block : block_hashes(prompt)) {
        is_prefix_cached = this->touch(block, now) && is_prefix_cached;
        cached_blocks += is_prefix_cached ? 1 : 0;
    }
    return cached_blocks * tokens_per_block;
}

Json::Value prefix_cache::events(std::uint64_t after, const event_faults& faults, core::steady_time now) const
{
    const std::lock_guard lock(this->mutex);
    Json::Value json(Json::objectValue);
    json["events"] = Json::Value(Json::arrayValue);
    json["last"] = static_cast<Json::UInt64>(after);
    for (const cache_event& entry : this->event_log) {
        if (entry.time + faults.delay > now) {
            break;
        }
        const bool is_dropped =
            faults.drop_every > 0 && entry.sequence % static_cast<std::uint64_t>(faults.drop_every) == 0;
        if (entry.sequence <= after || is_dropped) {
            continue;
        }
        Json::Value event(Json::objectValue);
        event["sequence"] = static_cast<Json::UInt64>(entry.sequence);
        event["kind"] = entry.is_stored ? "stored" : "removed";
        event["block"] = core::to_hex(entry.block);
        json["events"].append(event);
        json["last"] = static_cast<Json::UInt64>(entry.sequence);
    }
    return json;
}

} // namespace samphireway::standin
