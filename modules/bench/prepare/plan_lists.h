#pragma once

#include "core/core.h"
#include "platform/platform.h"

#include <cstdint>
#include <string>
#include <vector>

namespace samphireway::bench {

/** Plans, access lists and budgets to write before a run. @see prepare_plans */
struct prepared_lists {
    std::size_t plans = 0;
    std::size_t list_shards = 16;    ///< Must equal the nodes' setting.
    std::uint32_t ledger_shards = 2; ///< Must equal the nodes' setting.
    std::vector<std::string> models; ///< Models and services in every plan's access list.
    std::string secret;              ///< Secret part of every plan's caller key.
    std::int64_t budget = 0;         ///< Tokens deposited for every plan.
};

/** Returns the id of a prepared plan; its workspace has the same id. */
std::string prepared_plan_id(std::size_t index);

/**
    Writes plans, access lists and budgets to an empty platform with one call per object.

    The administration API would rewrite each list object thousands of times to create 110,000 plans one by
    one. Fails with `conflict` when an object already exists.
*/
core::result<void> prepare_plans(const platform::object_store& store, const prepared_lists& lists);

} // namespace samphireway::bench
