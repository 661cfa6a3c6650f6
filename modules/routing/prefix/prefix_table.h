#pragma once

#include "core/core.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace samphireway::routing {

/** An event of an engine's prefix cache. @see prefix_table */
struct cache_event {
    std::uint64_t sequence = 0; ///< Rises by one with each event; a gap means that events were lost.
    bool is_stored = false;     ///< Whether the block was stored; otherwise it was removed.
    std::uint64_t block = 0;    ///< Hash of the block; for a first block, of the prompt's first bytes.
};

/**
    Tracks which engines are likely to have which prompt prefixes cached.

    Learns from this node's own requests at once and from cache events with a delay. After a gap in the
    events of an engine, the confidence in its prefixes is halved, except for the most recent ones,
    since removals may be among the lost events. Thread-safe.
*/
class prefix_table {
public:
    /** Records that a request was sent to an engine, which will therefore cache its prefix. */
    void record_request(const std::string& upstream, std::uint64_t prefix, core::steady_time now);

    /** Applies cache events, which must be in the order of the engine. */
    void apply(const std::string& upstream, const std::vector<cache_event>& events, core::steady_time now);

    /** Returns the sequence number of the last event applied for an engine; zero if there is none. */
    std::uint64_t last_sequence(const std::string& upstream) const;

    /** Returns the confidence, from 0 to 1, that an engine has a prefix cached. */
    double confidence(const std::string& upstream, std::uint64_t prefix) const;

private:
    struct prefix_state {
        core::steady_time last_stored; ///< Time of the last request or event that stored the prefix.
        bool may_be_removed = false;   ///< Whether a removal of the prefix may have been lost.
    };

    struct engine_cache {
        std::unordered_map<std::uint64_t, prefix_state> prefixes;
        std::uint64_t last_sequence = 0;
    };

    static void insert_prefix(engine_cache& cache, std::uint64_t prefix, core::steady_time now);

    mutable std::mutex mutex;
    std::map<std::string, engine_cache> engines;
};

/** Reads the answer to an engine's `GET /cache/events`. Skips entries that are invalid or of unknown kind. */
std::vector<cache_event> cache_events_from_json(const Json::Value& json);

} // namespace samphireway::routing
