#include "limits/ledger/load_ledger.h"

#include <algorithm>
#include <cstdlib>
#include <set>

namespace samphireway::limits {

namespace {

// Upstream ids contain no colon, so these account names differ from those of all upstreams.
constexpr const char* lease_account = ":leases";
constexpr const char* unmet_prefix = ":unmet:";
constexpr const char* generation_prefix = "generation-";

void apply_limit(escrow::account& target, amount limit, std::uint64_t generation)
{
    std::uint64_t stored = 0;
    for (const auto& [id, deposit] : target.deposits) {
        stored = std::strtoull(id.c_str() + std::char_traits<char>::length(generation_prefix), nullptr, 10);
    }
    if (!target.deposits.empty() && stored >= generation) {
        return;
    }
    target.deposits = {{generation_prefix + std::to_string(generation), limit}};
}

void apply_unmet_demand(escrow::ledger& target, const load_account_update& account_update,
                        const std::string& holder)
{
    const std::string id = unmet_prefix + account_update.account;
    if (account_update.unmet_demand > 0) {
        target.accounts[id].deposits[holder] = account_update.unmet_demand;
        return;
    }
    const auto found = target.accounts.find(id);
    if (found == target.accounts.end()) {
        return;
    }
    found->second.deposits.erase(holder);
    if (found->second.deposits.empty()) {
        target.accounts.erase(found);
    }
}

} // namespace

std::string load_account(const std::string& upstream, load_kind kind)
{
    return upstream + (kind == load_kind::requests ? ":requests" : ":tokens");
}

std::uint32_t load_shard(const std::string& upstream, std::uint32_t shards)
{
    return static_cast<std::uint32_t>(core::hash64(upstream) % shards);
}

std::string load_object_key(std::uint32_t shard)
{
    return "ledger/load/" + std::to_string(shard);
}

bool apply_load_update(escrow::ledger& target, const load_update& update)
{
    if (update.renewal > 1 && !has_lease(target, update.holder)) {
        return false;
    }
    escrow::account& leases = target.accounts[lease_account];
    for (const expired_holder& expired : update.expired) {
        const auto found = leases.holders.find(expired.holder);
        if (found != leases.holders.end() && found->second.sequence == expired.renewal) {
            remove_holder(target, expired.holder);
        }
    }
    escrow::holder_entry& lease = leases.holders[update.holder];
    lease.granted = (update.lease + update.request_timeout).count();
    lease.sequence = std::max(lease.sequence, update.renewal);
    for (const load_account_update& account_update : update.accounts) {
        escrow::account& account = target.accounts[account_update.account];
        apply_limit(account, account_update.limit, account_update.generation);
        escrow::apply_update(account, update.holder, account_update.update);
        apply_unmet_demand(target, account_update, update.holder);
    }
    return true;
}

std::vector<lease_record> leases_of(const escrow::ledger& source)
{
    std::vector<lease_record> records;
    const auto found = source.accounts.find(lease_account);
    if (found == source.accounts.end()) {
        return records;
    }
    for (const auto& [holder, entry] : found->second.holders) {
        records.push_back(lease_record{.holder = holder,
                                       .renewal = entry.sequence,
                                       .hold_time = std::chrono::milliseconds(entry.granted)});
    }
    return records;
}

bool has_lease(const escrow::ledger& source, const std::string& holder)
{
    const auto found = source.accounts.find(lease_account);
    return found != source.accounts.end() && found->second.holders.contains(holder);
}

load_summary summarize(const escrow::ledger& source, const std::string& account, const std::string& holder)
{
    load_summary summary;
    std::set<std::string> contenders{holder};
    const auto found = source.accounts.find(account);
    if (found != source.accounts.end()) {
        summary.exists = true;
        summary.limit = found->second.limit();
        summary.available = found->second.available();
        summary.outstanding = found->second.outstanding();
        for (const auto& [id, entry] : found->second.holders) {
            if (entry.outstanding() > 0) {
                contenders.insert(id);
            }
        }
    }
    const auto unmet_demand = source.accounts.find(unmet_prefix + account);
    if (unmet_demand != source.accounts.end()) {
        for (const auto& [id, demand] : unmet_demand->second.deposits) {
            summary.unmet_demand_elsewhere += id == holder ? 0 : demand;
            contenders.insert(id);
        }
    }
    summary.contenders = contenders.size();
    return summary;
}

bool remove_holder(escrow::ledger& target, const std::string& holder)
{
    bool is_changed = false;
    for (auto& [id, account] : target.accounts) {
        is_changed = account.holders.erase(holder) > 0 || is_changed;
        if (id.starts_with(unmet_prefix)) {
            is_changed = account.deposits.erase(holder) > 0 || is_changed;
        }
    }
    return is_changed;
}

core::result<int> release_holder(const platform::object_store& store, std::uint32_t shards,
                                 const std::string& holder)
{
    int changed = 0;
    for (std::uint32_t shard = 0; shard < shards; ++shard) {
        bool is_changed = false;
        escrow::ledger_client client(load_object_key(shard));
        const core::result<escrow::ledger> written = client.update(store, [&](escrow::ledger& ledger) {
            is_changed = remove_holder(ledger, holder);
            return is_changed;
        });
        if (!written) {
            return tl::unexpected(written.error());
        }
        changed += is_changed ? 1 : 0;
    }
    return changed;
}

} // namespace samphireway::limits
