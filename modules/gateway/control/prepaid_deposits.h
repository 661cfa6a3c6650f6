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
    Brings the ledgers' deposits up to a configuration, one ledger object after the other.

    Fails like `escrow::ledger_client::update`; calling again is safe.
*/
core::result<void> store_deposits(const platform::object_store& store, const budget::purse& purse,
                                  const std::map<std::string, std::int64_t>& totals);

} // namespace samphireway::gateway
