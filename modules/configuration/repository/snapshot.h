#pragma once

#include "configuration/lists/compact_lists.h"
#include "configuration/lists/lists.h"

#include <cstdint>
#include <json/json.h>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace samphireway::configuration {

/** Counter of edits of one configuration object; rises by one with each accepted edit. */
using generation = std::uint64_t;

/** The upstreams list, immutable once accepted. */
struct upstream_list {
    std::map<std::string, upstream> upstreams;
};

/**
    The configuration in force at a node, immutable and shared between threads.

    The snapshot after an accepted edit replaces one shard and shares the others, so that the cost of
    an edit does not grow with the size of the whole list.

    @see repository
*/
struct snapshot {
    std::vector<std::shared_ptr<const plan_shard>> plan_shards;
    std::vector<std::shared_ptr<const access_shard>> access_shards;
    std::shared_ptr<const upstream_list> upstreams;
    Json::Value moves{Json::objectValue};          ///< Stored form of the moves list, by move id.
    std::map<std::string, generation> generations; ///< Generations in force, by object key.
    /** Hash of all generations in force; equal at two nodes that have the same generations. */
    std::uint64_t digest = 0;

    /** Returns a plan, or nothing when there is none. */
    std::optional<plan> find_plan(const std::string& id) const;

    /** Returns the access entries of a plan, or null when there are none. */
    const std::vector<access_entry>* find_access(const std::string& plan_id) const;

    /** Returns up to `limit` plans of all shards with ids greater than `after`, in ascending order. */
    std::vector<plan> page_plans(const std::string& after, std::size_t limit) const;

    /** Returns up to `limit` plan ids with access entries, greater than `after`, in ascending order. */
    std::vector<std::string> page_access(const std::string& after, std::size_t limit) const;

    /** Returns the generation of an object in force; zero when there is none. */
    generation generation_of(const std::string& key) const;
};

/** Returns the index of the shard that holds a plan, in a list of `shards` shards. */
std::size_t list_shard(const std::string& plan_id, std::size_t shards);

/** Number of parts into which a digest is split: nodes find differences without sending every key. */
inline constexpr std::size_t digest_parts = 64;

/** Returns the index of the digest part that covers an object. */
std::size_t digest_part_index(const std::string& key);

/** Returns the hash of one object, zero for generation zero. Digests combine them by exclusive or. */
std::uint64_t digest_of(const std::string& key, generation in_force);

/** Returns the digest of each part, over the objects that the part covers. */
std::vector<std::uint64_t> split_digest(const snapshot& configuration);

} // namespace samphireway::configuration
