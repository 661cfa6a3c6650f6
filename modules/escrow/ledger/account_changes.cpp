#include "escrow/ledger/account_changes.h"

#include <algorithm>
#include <cassert>

namespace samphireway::escrow {

namespace {

// Request ids that are billed within one interval share a key of the stored object.
constexpr std::int64_t request_bucket_ms = 60'000;

void record_bill(account& target, std::uint64_t request_hash, std::int64_t now_ms)
{
    std::int64_t time = now_ms - now_ms % request_bucket_ms;
    if (!target.billed_requests.empty()) {
        // Keeps the buckets in the order of billing even when the writers' clocks differ.
        time = std::max(time, target.billed_requests.rbegin()->first);
    }
    target.billed_requests[time].push_back(request_hash);
}

void drop_expired_request_ids(account& target, std::int64_t now_ms)
{
    std::size_t count = 0;
    for (const auto& [time, hashes] : target.billed_requests) {
        count += hashes.size();
    }
    while (!target.billed_requests.empty()) {
        const auto oldest = target.billed_requests.begin();
        const bool is_expired = oldest->first + request_bucket_ms + request_retention_ms < now_ms;
        if (!is_expired || count - oldest->second.size() < minimum_request_ids_kept) {
            return;
        }
        count -= oldest->second.size();
        target.billed_requests.erase(oldest);
    }
}

/**
    Records the request ids of an update as billed. Returns the part of its spend that is not billed
    because the request id was billed before.
*/
amount record_bills(account& target, const entry_update& update)
{
    amount duplicates = 0;
    for (const bill& entry : update.bills) {
        if (target.is_billed(entry.request_hash)) {
            duplicates += entry.used;
            continue;
        }
        record_bill(target, entry.request_hash, update.written_at_ms);
    }
    drop_expired_request_ids(target, update.written_at_ms);
    return duplicates;
}

/** Returns whether the first entry of a holder, or a lost one, may be created. */
bool may_create_entry(const account& target, const std::string& holder, std::uint64_t sequence,
                      std::uint64_t generation)
{
    if (generation == 0) {
        // Nothing is lost there, so only a first write finds no entry.
        return sequence == 1 && !target.closures.contains(holder);
    }
    return !target.has_ended(holder, generation);
}

} // namespace

holder_entry apply_update(account& target, const std::string& holder, const entry_update& update,
                          std::uint64_t generation)
{
    if (!target.holders.contains(holder) && !may_create_entry(target, holder, update.sequence, generation)) {
        return holder_entry{.sequence = update.sequence, .is_closed = true};
    }
    holder_entry& entry = target.holders[holder];
    if (entry.sequence >= update.sequence) {
        return entry;
    }
    entry.spent = std::max(entry.spent, update.spent_total - record_bills(target, update));
    entry.granted = std::max(entry.granted, update.granted_before);
    entry.returned = std::max(entry.returned, update.returned_before) + update.give_back;
    entry.sequence = update.sequence;
    entry.wanted = update.wanted;
    entry.demand_per_second = update.demand_per_second;
    entry.written_at_ms = update.written_at_ms;
    entry.generation = generation;
    take_reductions(target);
    const amount available =
        target.is_removed ? 0 : std::max<amount>(0, target.available() - target.kept_back(generation));
    entry.granted += std::min(update.draw, available);
    const holder_entry result = entry;
    if (update.is_final && entry.in_doubt() == 0) {
        target.closed_spent += entry.spent;
        if (generation != 0) {
            target.ended[holder] = {.spent = entry.spent, .ended_at_ms = update.written_at_ms};
        }
        target.holders.erase(holder);
    }
    return result;
}

core::result<closure> close_holder(account& target, const std::string& holder, amount charged,
                                   std::int64_t now_ms)
{
    const auto earlier = target.closures.find(holder);
    if (earlier != target.closures.end()) {
        return earlier->second;
    }
    const auto found = target.holders.find(holder);
    if (found == target.holders.end()) {
        return core::failure(core::error_code::not_found, "no entry of holder " + holder);
    }
    const amount in_doubt = found->second.in_doubt();
    if (charged < 0 || charged > in_doubt) {
        return core::failure(core::error_code::invalid_argument,
                             "charged: expected 0 to " + std::to_string(in_doubt));
    }
    const closure closed{.charged = charged,
                         .released = in_doubt - charged,
                         .spent = found->second.spent,
                         .closed_at_ms = now_ms};
    target.closed_spent += found->second.spent + charged;
    target.holders.erase(found);
    target.closures[holder] = closed;
    take_reductions(target);
    return closed;
}

void take_reductions(account& target)
{
    for (auto& [id, entry] : target.reductions) {
        const amount taken = std::clamp<amount>(target.available(), 0, entry.asked - entry.taken);
        entry.taken += taken;
    }
}

void fold_old_entries(account& target, std::int64_t now_ms)
{
    const std::int64_t oldest_kept = now_ms - fold_age_ms;
    while (target.deposits.size() > minimum_deposits_kept && !target.deposit_times.empty()) {
        const auto oldest =
            std::min_element(target.deposit_times.begin(), target.deposit_times.end(),
                             [](const auto& left, const auto& right) { return left.second < right.second; });
        if (oldest->second >= oldest_kept) {
            break;
        }
        target.folded_deposits += target.deposits[oldest->first];
        target.deposits.erase(oldest->first);
        target.deposit_times.erase(oldest);
    }
    std::erase_if(target.closures,
                  [&](const auto& entry) { return entry.second.closed_at_ms < oldest_kept; });
    std::erase_if(target.ended, [&](const auto& entry) { return entry.second.ended_at_ms < oldest_kept; });
    std::erase_if(target.holders, [&](const auto& entry) {
        // A live holder whose empty entry was folded learns this from its next write and starts a new
        // entry.
        const bool is_empty = entry.second.in_doubt() == 0 && entry.second.written_at_ms < oldest_kept;
        if (is_empty) {
            target.closed_spent += entry.second.spent;
            target.ended[entry.first] = {.spent = entry.second.spent, .ended_at_ms = now_ms};
        }
        return is_empty;
    });
}

std::size_t drop_excess_request_ids(ledger& target, std::size_t maximum)
{
    std::size_t count = 0;
    for (const auto& [id, entry] : target.accounts) {
        for (const auto& [time, hashes] : entry.billed_requests) {
            count += hashes.size();
        }
    }
    std::size_t dropped = 0;
    while (count - dropped > maximum) {
        account* oldest = nullptr;
        for (auto& [id, entry] : target.accounts) {
            const bool has_requests = !entry.billed_requests.empty();
            if (has_requests && (oldest == nullptr || entry.billed_requests.begin()->first <
                                                          oldest->billed_requests.begin()->first)) {
                oldest = &entry;
            }
        }
        assert(oldest != nullptr);
        const auto bucket = oldest->billed_requests.begin();
        const std::size_t excess = std::min(count - dropped - maximum, bucket->second.size());
        bucket->second.erase(bucket->second.begin(),
                             bucket->second.begin() + static_cast<std::ptrdiff_t>(excess));
        dropped += excess;
        if (bucket->second.empty()) {
            oldest->billed_requests.erase(bucket);
        }
    }
    return dropped;
}

std::size_t size_bound(const ledger& value)
{
    // Upper bounds of the stored text of each kind of member in bytes, with 64-bit numbers at full
    // length.
    constexpr std::size_t account_bytes = 320;
    constexpr std::size_t entry_bytes = 260;
    constexpr std::size_t deposit_bytes = 60;
    constexpr std::size_t hash_bytes = 16;
    std::size_t bytes = account_bytes;
    for (const auto& [plan, entry] : value.accounts) {
        bytes += account_bytes + plan.size();
        for (const auto& [id, holder] : entry.holders) {
            bytes += entry_bytes + id.size();
        }
        for (const auto& [id, closed] : entry.closures) {
            bytes += entry_bytes + id.size();
        }
        for (const auto& [id, end] : entry.ended) {
            bytes += entry_bytes + id.size();
        }
        for (const auto& [id, reduced] : entry.reductions) {
            bytes += entry_bytes + id.size();
        }
        for (const auto& [id, sum] : entry.deposits) {
            bytes += deposit_bytes + 2 * id.size();
        }
        for (const auto& [time, hashes] : entry.billed_requests) {
            bytes += deposit_bytes + hashes.size() * hash_bytes;
        }
    }
    return bytes;
}

} // namespace samphireway::escrow
