#pragma once

#include "budget/budget.h"

#include <algorithm>
#include <set>
#include <string>
#include <vector>

namespace samphireway::testing {

/** Converts writes of ledger objects into events of a budget history. @see budget::check_history */
class budget_recorder {
public:
    std::vector<budget::budget_event> events;

    /** Records a ledger write that took effect, from the objects before and after it. */
    void record_write(const Json::Value& before_json, const Json::Value& after_json)
    {
        const escrow::ledger before = escrow::ledger_from_json(before_json).value();
        const escrow::ledger after = escrow::ledger_from_json(after_json).value();
        for (const auto& [plan, account] : after.accounts) {
            const auto found = before.accounts.find(plan);
            this->record_account(plan, found == before.accounts.end() ? escrow::account{} : found->second,
                                 account);
        }
    }

private:
    using kind = budget::budget_event_kind;

    static std::multiset<std::uint64_t> hashes_of(const escrow::account& account)
    {
        std::multiset<std::uint64_t> hashes;
        for (const auto& [time, bucket] : account.billed_requests) {
            hashes.insert(bucket.begin(), bucket.end());
        }
        return hashes;
    }

    void record_account(const std::string& plan, const escrow::account& before, const escrow::account& after)
    {
        const escrow::amount added = after.limit() - before.limit();
        if (added > 0) {
            this->events.push_back({.kind = kind::deposit, .plan = plan, .sum = added});
        }
        std::vector<std::uint64_t> billed;
        const std::multiset<std::uint64_t> old_hashes = hashes_of(before);
        const std::multiset<std::uint64_t> new_hashes = hashes_of(after);
        std::set_difference(new_hashes.begin(), new_hashes.end(), old_hashes.begin(), old_hashes.end(),
                            std::back_inserter(billed));
        escrow::amount newly_closed = after.closed_spent - before.closed_spent;
        std::vector<std::string> removed_holders;
        for (const auto& [holder, entry] : before.holders) {
            if (after.holders.contains(holder)) {
                continue;
            }
            if (after.closures.contains(holder)) {
                this->events.push_back({.kind = kind::closure,
                                        .plan = plan,
                                        .holder = holder,
                                        .sum = after.closures.at(holder).charged});
                newly_closed -= entry.spent + after.closures.at(holder).charged;
                continue;
            }
            newly_closed -= entry.spent;
            removed_holders.push_back(holder);
        }
        for (const std::string& holder : removed_holders) {
            // A holder's final write settles and returns all its grants. A holder removed for another reason
            // has no grants outstanding.
            const escrow::holder_entry& old = before.holders.at(holder);
            escrow::holder_entry entry = old;
            entry.spent += old.outstanding() > 0 || removed_holders.size() == 1 ? newly_closed : 0;
            entry.returned = entry.granted - entry.spent;
            ++entry.sequence;
            this->record_entry(plan, holder, entry, billed);
        }
        for (const auto& [holder, entry] : after.holders) {
            const auto old = before.holders.find(holder);
            if (old == before.holders.end() || old->second.sequence != entry.sequence) {
                this->record_entry(plan, holder, entry, billed);
            }
        }
        if (added < 0) { // After the other events, as a reduction may use tokens returned by the same write.
            this->events.push_back({.kind = kind::deposit, .plan = plan, .sum = added});
        }
    }

    void record_entry(const std::string& plan, const std::string& holder, const escrow::holder_entry& entry,
                      const std::vector<std::uint64_t>& billed)
    {
        this->events.push_back(
            {.kind = kind::ledger_write, .plan = plan, .holder = holder, .entry = entry, .billed = billed});
    }
};

} // namespace samphireway::testing
