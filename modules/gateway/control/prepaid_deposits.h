#pragma once

#include "budget/budget.h"
#include "core/core.h"
#include "escrow/escrow.h"
#include "gateway/model/configuration.h"

#include <cstdint>
#include <map>
#include <string>

namespace samphireway::gateway {

/** The amounts that a configuration grants in total, by workspace. */
std::map<std::string, std::int64_t> prepaid_amounts(const configuration& source);

/**
    Raises the deposits of the accounts to the configuration's totals; returns whether the ledger has changed.

    A lower total changes nothing: a node with an older configuration must not take a top-up back.
*/
bool raise_deposits(escrow::ledger& target, const std::map<std::string, std::int64_t>& totals);

/**
    Closes the entries that earlier processes of a node have left; returns the tokens written off.

    Their whole outstanding grants count as spent, which is safe even if such a process still runs. It keeps
    their use and demand out of the decisions of the living holders.
*/
std::int64_t close_predecessors(escrow::account& target, const std::string& node, const std::string& holder,
                                std::int64_t now_ms);

/** What a node writes to the ledgers when it starts and when the configuration changes. @see store_deposits
 */
struct deposit_update {
    std::map<std::string, std::int64_t> totals; ///< By workspace.
    std::string node;
    std::string holder; ///< Of this process.
};

/**
    Brings the ledgers' deposits up to a configuration and closes the entries of the node's earlier processes,
    one ledger object after the other.

    Fails like `escrow::ledger_client::update`; calling again is safe.
*/
core::result<void> store_deposits(const platform::object_store& store, const budget::purse& purse,
                                  const deposit_update& update);

} // namespace samphireway::gateway
