#include "escrow/ledger/ledger_join.h"

#include <algorithm>
#include <set>

namespace samphireway::escrow {

namespace {

/** Raises an amount. Returns whether it has risen. */
template<typename Value> bool raise(Value& target, const Value& known)
{
    const bool is_higher = known > target;
    target = std::max(target, known);
    return is_higher;
}

bool join(holder_entry& target, const holder_entry& known)
{
    const holder_entry before = target;
    if (known.sequence > target.sequence) {
        target = known;
    }
    target.generation = std::max(before.generation, known.generation);
    raise(target.granted, std::max(before.granted, known.granted));
    raise(target.spent, std::max(before.spent, known.spent));
    raise(target.returned, std::max(before.returned, known.returned));
    return target.sequence != before.sequence || target.granted != before.granted ||
           target.spent != before.spent || target.returned != before.returned;
}

bool is_ended(const account& target, const std::string& holder)
{
    return target.closures.contains(holder) || target.ended.contains(holder);
}

/** Removes the entry of a holder and counts what it has used as that of a closed one. */
void end_holder(account& target, const std::string& holder, amount used)
{
    const auto entry = target.holders.find(holder);
    if (entry != target.holders.end()) {
        used = std::max(used, entry->second.spent);
        target.holders.erase(entry);
    }
    target.closed_spent += used;
}

bool join_ends(account& target, const account& known)
{
    bool has_changed = false;
    for (const auto& [holder, end] : known.ended) {
        if (!is_ended(target, holder)) {
            end_holder(target, holder, end.spent);
            target.ended[holder] = end;
            has_changed = true;
        }
    }
    for (const auto& [holder, closed] : known.closures) {
        if (is_ended(target, holder)) {
            continue;
        }
        const auto entry = target.holders.find(holder);
        const amount outstanding = entry == target.holders.end() ? 0 : entry->second.in_doubt();
        const amount spent = entry == target.holders.end() ? 0 : entry->second.spent;
        end_holder(target, holder, closed.spent ? *closed.spent + closed.charged : spent + outstanding);
        target.closures[holder] = closed;
        has_changed = true;
    }
    return raise(target.closed_spent, known.closed_spent) || has_changed;
}

/** Joins the entries of holders. One that was closed on an older state is charged what is known of it now. */
bool join_holders(account& target, const account& known)
{
    bool has_changed = false;
    for (const auto& [holder, entry] : known.holders) {
        if (target.ended.contains(holder)) {
            continue;
        }
        const auto closed = target.closures.find(holder);
        if (closed == target.closures.end()) {
            has_changed = join(target.holders[holder], entry) || has_changed;
            continue;
        }
        const bool is_charged_in_full = closed->second.spent && closed->second.released == 0;
        const amount missing =
            entry.granted - entry.returned - closed->second.spent.value_or(0) - closed->second.charged;
        if (is_charged_in_full && missing > 0) {
            closed->second.charged += missing;
            target.closed_spent += missing;
            has_changed = true;
        }
    }
    return has_changed;
}

bool join_billed_requests(account& target, const account& known)
{
    std::set<std::uint64_t> billed;
    for (const auto& [time, hashes] : target.billed_requests) {
        billed.insert(hashes.begin(), hashes.end());
    }
    bool has_changed = false;
    for (const auto& [time, hashes] : known.billed_requests) {
        for (const std::uint64_t hash : hashes) {
            if (billed.insert(hash).second) {
                target.billed_requests[time].push_back(hash);
                has_changed = true;
            }
        }
    }
    return has_changed;
}

bool join(account& target, const account& known)
{
    bool has_changed = false;
    for (const auto& [id, sum] : known.deposits) {
        has_changed = raise(target.deposits[id], sum) || has_changed;
    }
    target.deposit_times.insert(known.deposit_times.begin(), known.deposit_times.end());
    for (const auto& [id, entry] : known.reductions) {
        has_changed = raise(target.reductions[id].asked, entry.asked) || has_changed;
        has_changed = raise(target.reductions[id].taken, entry.taken) || has_changed;
    }
    has_changed = raise(target.is_removed, known.is_removed) || has_changed;
    has_changed = join_ends(target, known) || has_changed;
    has_changed = join_holders(target, known) || has_changed;
    return join_billed_requests(target, known) || has_changed;
}

} // namespace

bool join(ledger& target, const ledger& known)
{
    bool has_changed = false;
    for (const auto& [id, entry] : known.accounts) {
        const bool is_new = !target.accounts.contains(id);
        const bool is_changed = join(target.accounts[id], entry);
        has_changed = has_changed || is_new || is_changed;
    }
    return has_changed;
}

} // namespace samphireway::escrow
