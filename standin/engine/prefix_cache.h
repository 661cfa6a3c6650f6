#pragma once

#include "core/core.h"

#include <cstdint>
#include <deque>
#include <json/json.h>
#include <list>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace samphireway::standin {

/** Faults in the delivery of cache events. @see prefix_cache::events */
struct event_faults {
    std::chrono::milliseconds delay{0};
    std::int64_t drop_every = 0; ///< Drops events whose sequence number is a multiple of this; 0 drops none.
};

/**
    Prompt-prefix cache of an engine with bounded memory. Its events tell routers what it stores.

    A prompt is cut into blocks of `block_bytes`; a block's hash covers all text before it. The hash of
    the first block is the hash of the prompt's first bytes, as routers compute it. The least recently
    used block is evicted first.

    @see engine_standin
*/
class prefix_cache {
public:
    static constexpr std::size_t block_bytes = 512;
    static constexpr std::int64_t tokens_per_block = 128;

    explicit prefix_cache(std::int64_t capacity_tokens);

    /** Stores the blocks of a prompt and returns how many prefix tokens were already cached. */
    std::int64_t use(const std::string& prompt, core::steady_time now);

    /** Returns the events after a sequence number that are visible at `now`. */
    Json::Value events(std::uint64_t after, const event_faults& faults, core::steady_time now) const;

private:
    struct cache_event {
        std::uint64_t sequence = 0;
        bool is_stored = false;
        std::uint64_t block = 0;
        core::steady_time time;
    };

    void add_event(bool is_stored, std::uint64_t block, core::steady_time now);
    bool touch(std::uint64_t block, core::steady_time now);

    const std::size_t maximum_blocks;
    mutable std::mutex mutex;
    std::list<std::uint64_t> recently_used; ///< Blocks, most recently used first.
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> blocks;
    std::deque<cache_event> event_log;
    std::uint64_t sequence = 0;
};

} // namespace samphireway::standin
