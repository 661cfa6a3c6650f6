#include "gateway/control/prepaid_deposits.h"

#include <utility>
#include <vector>

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

bool close_predecessors(escrow::account& target, const std::string& node, const std::string& holder,
                        std::int64_t now_ms)
{
    std::vector<std::pair<std::string, escrow::amount>> left;
    for (const auto& [id, entry] : target.holders) {
        const bool is_of_node = id.starts_with(node + ".");
        const bool is_own = id == holder || id.starts_with(holder + ".");
        if (is_of_node && !is_own) {
            left.emplace_back(id, entry.outstanding());
        }
    }
    for (const auto& [id, outstanding] : left) {
        const core::result<escrow::closure> closed = escrow::close_holder(target, id, outstanding, now_ms);
        core::log_event(core::log_level::info, "grant_written_off",
                        {{"holder", id}, {"amount", outstanding}, {"closed", closed ? "true" : "false"}});
    }
    return !left.empty();
}

core::result<void> store_deposits(const platform::object_store& store, const budget::purse& purse,
                                  const deposit_update& update)
{
    std::map<std::uint32_t, std::map<std::string, std::int64_t>> by_ledger;
    for (const auto& [name, total] : update.totals) {
        by_ledger[purse.shard_of(name)][name] = total;
    }
    const std::int64_t now_ms = core::to_unix_ms(std::chrono::system_clock::now());
    for (const auto& [shard, part] : by_ledger) {
        escrow::ledger_client client(budget::purse::object_key(shard));
        const core::result<escrow::ledger> written =
            client.update(store, [&, &totals = part](escrow::ledger& ledger) {
                bool is_changed = raise_deposits(ledger, totals);
                for (auto& [name, account] : ledger.accounts) {
                    is_changed =
                        close_predecessors(account, update.node, update.holder, now_ms) || is_changed;
                }
                return is_changed;
            });
        if (!written) {
            return tl::unexpected(written.error());
        }
    }
    return {};
}

} // namespace samphireway::gateway
