#include "bench/prepare/plan_lists.h"

#include "budget/budget.h"
#include "configuration/configuration.h"

namespace samphireway::bench {

namespace {

core::result<void> create(const platform::object_store& store, const std::string& key,
                          const Json::Value& value)
{
    const core::result<platform::put_outcome> outcome = store.put(key, value, 0);
    if (!outcome) {
        return tl::unexpected(outcome.error());
    }
    if (!outcome->applied) {
        return core::failure(core::error_code::conflict, "object " + key + " already exists");
    }
    return {};
}

Json::Value empty_list()
{
    Json::Value list(Json::objectValue);
    list["generation"] = 1;
    return list;
}

} // namespace

std::string prepared_plan_id(std::size_t index)
{
    return "plan-" + std::to_string(index);
}

core::result<void> prepare_plans(const platform::object_store& store, const prepared_lists& lists)
{
    std::vector<Json::Value> plans(lists.list_shards, empty_list());
    std::vector<Json::Value> access(lists.list_shards, empty_list());
    std::vector<escrow::ledger> ledgers(lists.ledger_shards);
    std::vector<configuration::access_entry> entries;
    for (const std::string& model : lists.models) {
        entries.push_back(configuration::access_entry{.upstream = "*", .model = model, .version = "*"});
    }
    const Json::Value allowed = configuration::to_json(entries);
    const std::string key_hash = core::sha256_hex(lists.secret);
    for (std::size_t index = 0; index < lists.plans; ++index) {
        const std::string id = prepared_plan_id(index);
        const std::size_t shard = configuration::list_shard(id, lists.list_shards);
        plans[shard]["plans"][id] =
            configuration::to_json(configuration::plan{.id = id, .workspace = id, .key_hashes = {key_hash}});
        access[shard]["access"][id] = allowed;
        const std::size_t ledger_shard = core::hash64(id) % lists.ledger_shards;
        ledgers[ledger_shard].accounts[id].deposits["prepared"] = lists.budget;
    }
    for (std::size_t shard = 0; shard < lists.list_shards; ++shard) {
        core::result<void> written = create(store, configuration::plans_key(shard), plans[shard]);
        if (written) {
            written = create(store, configuration::access_key(shard), access[shard]);
        }
        if (!written) {
            return written;
        }
    }
    for (std::uint32_t shard = 0; shard < lists.ledger_shards; ++shard) {
        const core::result<void> written =
            create(store, budget::grant_pool::object_key(shard), escrow::to_json(ledgers[shard]));
        if (!written) {
            return written;
        }
    }
    return {};
}

} // namespace samphireway::bench
