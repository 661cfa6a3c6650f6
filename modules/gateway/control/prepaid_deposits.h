#pragma once

#include "budget/budget.h"
#include "core/core.h"
#include "escrow/escrow.h"
#include "gateway/model/configuration.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace samphireway::gateway {

/** Returns the total prepaid tokens that a configuration grants, by workspace. */
std::map<std::string, std::int64_t> prepaid_amounts(const configuration& source);

/**
    Raises the accounts' deposits to the totals of a configuration. Returns whether the ledger has
    changed.

    A total below the stored deposit is ignored: a node with an older configuration must not undo a
    top-up.
*/
bool raise_deposits(escrow::ledger& target, const std::map<std::string, std::int64_t>& totals);

/**
    Closes the holders that earlier processes of a node left in an account. Returns the tokens written
    off.

    Their outstanding grants count as spent in full, which is safe even if such a process still runs.
    Closing them keeps their use and demand out of the decisions of the active holders.
*/
std::int64_t close_predecessors(escrow::account& target, const std::string& node, const std::string& holder,
                                std::int64_t now_ms);

/** Closes the holders of processes that have ended. Returns the tokens written off.
 * @see close_predecessors */
std::int64_t close_ended(escrow::account& target, const std::set<std::string>& ended_processes,
                         std::int64_t now_ms);

/** What a ledger writer brings into the ledgers when it starts, and when the configuration or the nodes
 * change. @see store_deposits */
struct deposit_update {
    std::map<std::string, std::int64_t> totals; ///< Prepaid tokens by workspace.
    std::string node;
    std::string holder;                    ///< Id of this process in the ledgers.
    std::set<std::string> ended_processes; ///< Ids of other nodes' processes that have ended.

    bool operator==(const deposit_update&) const = default;
};

/**
    Raises the ledgers' deposits to the totals of a configuration and closes the holders of the node's
    earlier processes and of those that have ended, one ledger object after the other.

    Fails like `escrow::ledger_client::update`. After a failure it can safely be called again.
*/
core::result<void> store_deposits(const platform::object_store& store, const budget::grant_pool& grant_pool,
                                  const deposit_update& update);

} // namespace samphireway::gateway
