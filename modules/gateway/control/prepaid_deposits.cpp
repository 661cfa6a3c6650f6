#include "gateway/control/prepaid_deposits.h"

#include <algorithm>
#include <functional>
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

/** Returns whether a holder id is that of a process: PROCESS or PROCESS.EPOCH. */
bool belongs_to(const std::string& holder, const std::string& process)
{
    return holder == process || holder.starts_with(process + ".");
}

std::int64_t close_holders(escrow::account& target,
                           const std::function<bool(const std::string& id)>& is_ended, std::int64_t now_ms)
{
    std::vector<std::pair<std::string, escrow::holder_entry>> ended;
    for (const auto& [id, entry] : target.holders) {
        if (is_ended(id)) {
            ended.emplace_back(id, entry);
        }
    }
    std::int64_t written_off = 0;
    for (const auto& [id, entry] : ended) {
        const core::result<escrow::closure> closed =
            escrow::close_holder(target, id, entry.in_doubt(), now_ms);
        if (!closed) {
            core::log_event(core::log_level::error, "grant_not_closed",
                            {{"holder", id}, {"reason", closed.error().message}});
            continue;
        }
        written_off += entry.in_doubt();
        if (entry.overspent() > 0) {
            core::log_event(core::log_level::warning, "lost_grants_spent",
                            {{"holder", id}, {"amount", entry.overspent()}});
        }
    }
    return written_off;
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
    return close_holders(
        target, [&](const std::string& id) { return id.starts_with(node + ".") && !belongs_to(id, holder); },
        now_ms);
}

std::int64_t close_ended(escrow::account& target, const std::set<std::string>& ended_processes,
                         std::int64_t now_ms)
{
    return close_holders(
        target,
        [&](const std::string& id) {
            return std::any_of(ended_processes.begin(), ended_processes.end(),
                               [&id](const std::string& process) { return belongs_to(id, process); });
        },
        now_ms);
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
                    written_off += close_ended(account, update.ended_processes, now_ms);
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
