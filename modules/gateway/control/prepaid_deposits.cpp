#include "gateway/control/prepaid_deposits.h"

namespace samphireway::gateway {

namespace {

const std::string deposit_id = "configuration";

} // namespace

std::map<std::string, std::int64_t> prepaid_amounts(const configuration& source)
{
    std::map<std::string, std::int64_t> totals;
    for (const workspace& entry : source.workspaces) {
        if (entry.prepaid_tokens) {
            totals[entry.name] = *entry.prepaid_tokens;
        }
    }
    return totals;
}

bool raise_deposits(escrow::ledger& target, const std::map<std::string, std::int64_t>& totals)
{
    bool is_changed = false;
    for (const auto& [name, total] : totals) {
        escrow::amount& deposit = target.accounts[name].deposits[deposit_id];
        if (deposit < total) {
            deposit = total;
            is_changed = true;
        }
    }
    return is_changed;
}

core::result<void> store_deposits(const platform::object_store& store, const budget::purse& purse,
                                  const std::map<std::string, std::int64_t>& totals)
{
    std::map<std::uint32_t, std::map<std::string, std::int64_t>> by_ledger;
    for (const auto& [name, total] : totals) {
        by_ledger[purse.shard_of(name)][name] = total;
    }
    for (const auto& [shard, part] : by_ledger) {
        escrow::ledger_client client(budget::purse::object_key(shard));
        const core::result<escrow::ledger> written = client.update(
            store, [&part = part](escrow::ledger& ledger) { return raise_deposits(ledger, part); });
        if (!written) {
            return tl::unexpected(written.error());
        }
    }
    return {};
}

} // namespace samphireway::gateway
