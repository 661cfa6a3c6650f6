#include "configuration/configuration.h"

#include <criterion/criterion.h>
#include <cstdio>

namespace {

using namespace samphireway;
using configuration::acceptance;

Json::Value make_shard(std::size_t shard, std::size_t shards, std::size_t plans, std::int64_t generation)
{
    Json::Value value(Json::objectValue);
    value["generation"] = static_cast<Json::Int64>(generation);
    value["plans"] = Json::Value(Json::objectValue);
    for (std::size_t index = 0; index < plans; ++index) {
        const std::string id = "plan-" + std::to_string(index);
        if (configuration::list_shard(id, shards) != shard) {
            continue;
        }
        Json::Value& plan = value["plans"][id];
        plan["workspace"] = "workspace-" + std::to_string(index % 30);
        plan["key_hashes"].append(core::sha256_hex(id));
        plan["enabled"] = index % 7 != 0;
    }
    return value;
}

} // namespace

// Guards against plans that change or are lost when they are packed, or when they are sent to a peer
// in stored form.
Test(list_storage, stored_form_is_unchanged_by_packing)
{
    constexpr std::size_t shards = 4;
    configuration::repository first(shards);
    configuration::repository second(shards);
    for (std::size_t shard = 0; shard < shards; ++shard) {
        const Json::Value value = make_shard(shard, shards, 1000, 1);
        cr_assert(first.offer(configuration::plans_key(shard), value) == acceptance::accepted);
        cr_assert_eq(core::write_json(first.stored(configuration::plans_key(shard))),
                     core::write_json(value));
        const Json::Value stored = first.stored(configuration::plans_key(shard));
        cr_assert(second.offer(configuration::plans_key(shard), stored) == acceptance::accepted);
    }
    cr_assert_eq(first.current()->digest, second.current()->digest);
    const std::optional<configuration::plan> found = second.current()->find_plan("plan-70");
    cr_assert(found.has_value());
    cr_assert(!found->is_enabled);
    cr_assert_eq(found->key_hashes.at(0), core::sha256_hex("plan-70"));
    cr_assert(!second.current()->find_plan("plan-1000").has_value());
    std::string after;
    std::size_t listed = 0;
    for (std::vector<configuration::plan> page = second.current()->page_plans(after, 64); !page.empty();
         page = second.current()->page_plans(after, 64)) {
        listed += page.size();
        after = page.back().id;
    }
    cr_assert_eq(listed, 1000);
}

// Guards against an edit that rebuilds other shards than its own. Prints the time of an edit for
// three numbers of shards.
Test(list_storage, edit_rebuilds_one_shard)
{
    constexpr std::size_t plans = 110000;
    for (const std::size_t shards : {16, 256, 4096}) {
        configuration::repository repository(shards);
        std::vector<Json::Value> values(shards);
        for (std::size_t index = 0; index < plans; ++index) {
            const std::string id = "plan-" + std::to_string(index);
            Json::Value& value = values[configuration::list_shard(id, shards)];
            value["generation"] = 1;
            value["plans"][id]["workspace"] = "workspace";
            value["plans"][id]["key_hashes"].append(std::string(64, 'a'));
        }
        for (std::size_t shard = 0; shard < shards; ++shard) {
            repository.offer(configuration::plans_key(shard), values[shard]);
        }
        const auto before = repository.current();
        values[3]["generation"] = 2;
        const auto start = std::chrono::steady_clock::now();
        cr_assert(repository.offer(configuration::plans_key(3), values[3]) == acceptance::accepted);
        const auto elapsed = std::chrono::steady_clock::now() - start;
        const auto after = repository.current();
        for (std::size_t shard = 0; shard < shards; ++shard) {
            cr_assert_eq(before->plan_shards[shard] == after->plan_shards[shard], shard != 3);
        }
        std::printf(
            "plans=%zu shards=%zu rebuild_us=%ld\n", plans, shards,
            static_cast<long>(std::chrono::duration_cast<std::chrono::microseconds>(elapsed).count()));
        std::fflush(stdout);
    }
}
