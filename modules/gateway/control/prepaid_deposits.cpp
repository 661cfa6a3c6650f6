#include "gateway/control/prepaid_deposits.h"

#include <utility>
#include <vector>

namespace samphireway::gateway {

namespace {

const std::string deposit_id = "configuration";

std::size_t count_holders(const escrow::ledger& ledger)
{
    std::size_t count = 0;
    for (const auto& [name, account] : ledger.accounts) {
        count += account.holders.size();
    }
    return count;
}

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
    bool has_changed = false;
    for (const auto& [name, total] : totals) {
        escrow::amount& deposit = target.accounts[name].deposits[deposit_id];
        if (deposit < total) {
            deposit = total;
            has_changed = true;
        }
    }
    return has_changed;
}

std::int64_t close_predecessors(escrow::account& target, const std::string& node, const std::string& holder,
                                std::int64_t now_ms)
{
    std::vector<std::pair<std::string, escrow::amount>> predecessors;
    for (const auto& [id, entry] : target.holders) {
        const bool is_of_node = id.starts_with(node + ".");
        const bool is_own = id == holder || id.starts_with(holder + ".");
        if (is_of_node && !is_own) {
            predecessors.emplace_back(id, entry.outstanding());
        }
    }
    std::int64_t written_off = 0;
    for (const auto& [id, outstanding] : predecessors) {
        const core::result<escrow::closure> closed = escrow::close_holder(target, id, outstanding, now_ms);
        if (!closed) {
            core::log_event(core::log_level::error, "grant_not_closed",
                            {{"holder", id}, {"reason", closed.error().message}});
            continue;
        }
        written_off += outstanding;
    }
    return written_off;
}

core::result<void> store_deposits(const platform::object_store& store, const budget::grant_pool& grant_pool,
                                  const deposit_update& update)
{
    std::map<std::uint32_t, std::map<std::string, std::int64_t>> by_ledger;
    for (const auto& [name, total] : update.totals) {
        by_ledger[grant_pool.shard_of(name)][name] = total;
    }
    const std::int64_t now_ms = core::to_unix_ms(std::chrono::system_clock::now());
    for (const auto& [shard, shard_totals] : by_ledger) {
        escrow::ledger_client client(budget::grant_pool::object_key(shard));
        std::int64_t written_off = 0;
        const core::result<escrow::ledger> written =
            client.update(store, [&, &totals = shard_totals](escrow::ledger& ledger) {
                written_off = 0;
                const std::size_t holders_before = count_holders(ledger);
                const bool has_raised_deposits = raise_deposits(ledger, totals);
                for (auto& [name, account] : ledger.accounts) {
                    written_off += close_predecessors(account, update.node, update.holder, now_ms);
                }
                return has_raised_deposits || count_holders(ledger) != holders_before;
            });
        if (!written) {
            return tl::unexpected(written.error());
        }
        if (written_off > 0) {
            core::log_event(core::log_level::info, "grants_written_off",
                            {{"node", update.node}, {"ledger", shard}, {"amount", written_off}});
        }
    }
    return {};
}

} // namespace samphireway::gateway
