#include "configuration/repository/snapshot.h"

#include <algorithm>

namespace samphireway::configuration {

std::size_t list_shard(const std::string& plan_id, std::size_t shards)
{
    return core::hash64(plan_id) % shards;
}

std::optional<plan> snapshot::find_plan(const std::string& id) const
{
    return this->plan_shards[list_shard(id, this->plan_shards.size())]->find(id);
}

const std::vector<access_entry>* snapshot::find_access(const std::string& plan_id) const
{
    return this->access_shards[list_shard(plan_id, this->access_shards.size())]->find(plan_id);
}

std::vector<plan> snapshot::page_plans(const std::string& after, std::size_t limit) const
{
    std::vector<plan> plans;
    for (const std::shared_ptr<const plan_shard>& shard : this->plan_shards) {
        std::vector<plan> part = shard->page(after, limit);
        std::move(part.begin(), part.end(), std::back_inserter(plans));
    }
    std::sort(plans.begin(), plans.end(),
              [](const plan& left, const plan& right) { return left.id < right.id; });
    if (plans.size() > limit) {
        plans.resize(limit);
    }
    return plans;
}

std::vector<std::string> snapshot::page_access(const std::string& after, std::size_t limit) const
{
    std::vector<std::string> ids;
    for (const std::shared_ptr<const access_shard>& shard : this->access_shards) {
        std::vector<std::string> part = shard->page(after, limit);
        std::move(part.begin(), part.end(), std::back_inserter(ids));
    }
    std::sort(ids.begin(), ids.end());
    ids.resize(std::min(ids.size(), limit));
    return ids;
}

generation snapshot::generation_of(const std::string& key) const
{
    const auto found = this->generations.find(key);
    return found == this->generations.end() ? 0 : found->second;
}

std::size_t digest_part_index(const std::string& key)
{
    return core::hash64(key) % digest_parts;
}

std::uint64_t digest_of(const std::string& key, generation in_force)
{
    return in_force == 0 ? 0 : core::hash64(key + "=" + std::to_string(in_force));
}

std::vector<std::uint64_t> split_digest(const snapshot& configuration)
{
    std::vector<std::uint64_t> parts(digest_parts, 0);
    for (const auto& [key, in_force] : configuration.generations) {
        parts[digest_part_index(key)] ^= digest_of(key, in_force);
    }
    return parts;
}

} // namespace samphireway::configuration
