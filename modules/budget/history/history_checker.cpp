#include "budget/history/history_checker.h"

#include <algorithm>
#include <map>
#include <set>

namespace samphireway::budget {

namespace {

using escrow::amount;

struct open_reservation {
    amount sum = 0;
    std::uint64_t request_hash = 0;
};

struct identified_use {
    std::string holder;
    amount used = 0;
};

struct holder_state {
    escrow::holder_entry entry;
    std::map<std::string, open_reservation> reservations;
    amount used = 0; ///< Use, without the uses whose request id was billed for another use.
    amount used_without_id = 0;
    /**
        Charged by an operator on closing, beyond the settled spend. Covers further use by the closed
        holder.
    */
    amount charged = 0;
    bool is_closed = false;

    amount covered_amount() const
    {
        return this->is_closed ? this->entry.spent + this->charged
                               : this->entry.granted - this->entry.returned;
    }

    amount reserved() const
    {
        amount sum = 0;
        for (const auto& [request, open] : this->reservations) {
            sum += open.sum;
        }
        return sum;
    }
};

struct plan_state {
    amount deposits = 0;
    std::map<std::string, holder_state> holders;
    std::map<std::uint64_t, std::vector<identified_use>> uses;
    std::map<std::uint64_t, std::string> billed_by;
};

class checker {
public:
    explicit checker(const history_options& options_to_use) : options(options_to_use) {}

    std::vector<history_violation> run(const std::vector<budget_event>& events)
    {
        for (const budget_event& event : events) {
            plan_state& plan = this->plans[event.plan];
            this->apply(plan, event);
            this->check_sums(plan, event.plan);
            ++this->index;
        }
        if (this->options.is_complete) {
            for (const auto& [name, plan] : this->plans) {
                this->check_complete(plan, name);
            }
        }
        return std::move(this->violations);
    }

private:
    void report(const std::string& rule, const std::string& detail)
    {
        this->violations.push_back({.event = this->index, .rule = rule, .detail = detail});
    }

    void apply(plan_state& plan, const budget_event& event)
    {
        holder_state& holder = plan.holders[event.holder];
        switch (event.kind) {
        case budget_event_kind::deposit:
            plan.deposits += event.sum;
            return;
        case budget_event_kind::ledger_write:
            this->apply_write(plan, holder, event);
            return;
        case budget_event_kind::closure:
            holder.is_closed = true;
            holder.charged = event.sum;
            this->check_coverage(holder, event.holder);
            return;
        case budget_event_kind::reservation:
            this->apply_reservation(holder, event);
            return;
        case budget_event_kind::dispatch:
            if (!holder.reservations.contains(event.request)) {
                this->report("dispatch_without_reservation", event.request);
            }
            return;
        case budget_event_kind::settlement:
            this->apply_settlement(plan, holder, event);
            return;
        }
    }

    void apply_write(plan_state& plan, holder_state& holder, const budget_event& event)
    {
        const escrow::holder_entry& before = holder.entry;
        const escrow::holder_entry& after = event.entry;
        const bool is_monotonic = after.granted >= before.granted && after.spent >= before.spent &&
                                  after.returned >= before.returned &&
                                  after.sequence == before.sequence + 1 && !holder.is_closed;
        if (!is_monotonic) {
            this->report("entry_not_monotonic", event.holder);
        }
        holder.entry = after;
        for (const std::uint64_t hash : event.billed) {
            if (!plan.billed_by.emplace(hash, event.holder).second) {
                this->report("billed_twice", core::to_hex(hash));
            }
        }
        this->recompute_use(plan);
        this->check_coverage(holder, event.holder);
    }

    void apply_reservation(holder_state& holder, const budget_event& event)
    {
        holder.reservations[event.request] = {.sum = event.sum, .request_hash = event.request_hash};
        this->check_coverage(holder, event.holder);
    }

    void check_coverage(const holder_state& holder, const std::string& name)
    {
        const amount grant = holder.covered_amount();
        if (holder.used + holder.reserved() > grant) {
            this->report("uncovered_reservation", name + " holds " + std::to_string(grant) + ", reserved " +
                                                      std::to_string(holder.reserved()) + ", used " +
                                                      std::to_string(holder.used));
        }
    }

    void apply_settlement(plan_state& plan, holder_state& holder, const budget_event& event)
    {
        const auto found = holder.reservations.find(event.request);
        if (found == holder.reservations.end()) {
            if (event.sum > 0) {
                this->report("dispatch_without_reservation", event.request);
            }
            return;
        }
        if (event.sum > found->second.sum) {
            this->report("settlement_above_reservation", event.request);
        }
        holder.reservations.erase(found);
        if (event.sum == 0) {
            return;
        }
        if (event.request_hash == 0) {
            holder.used_without_id += event.sum;
        }
        else {
            plan.uses[event.request_hash].push_back({.holder = event.holder, .used = event.sum});
        }
        this->recompute_use(plan);
    }

    /**
        Recomputes the use of each holder. A use whose request id was billed for another use does not
        count.
    */
    static void recompute_use(plan_state& plan)
    {
        for (auto& [name, holder] : plan.holders) {
            holder.used = holder.used_without_id;
        }
        for (const auto& [hash, uses] : plan.uses) {
            const auto billed = plan.billed_by.find(hash);
            std::set<std::string> counted;
            for (const identified_use& use : uses) {
                const bool is_duplicate =
                    billed != plan.billed_by.end() &&
                    (billed->second != use.holder || !counted.insert(use.holder).second);
                if (!is_duplicate) {
                    plan.holders[use.holder].used += use.used;
                }
            }
        }
    }

    void check_sums(const plan_state& plan, const std::string& name)
    {
        amount used = 0;
        amount billed = 0;
        amount granted = 0;
        for (const auto& [id, holder] : plan.holders) {
            used += holder.is_closed ? std::max(holder.covered_amount(), holder.used) : holder.used;
            billed += holder.entry.spent + holder.charged;
            granted += holder.covered_amount();
            if (!holder.is_closed && holder.entry.spent > holder.used) {
                this->report("spent_without_use", id);
            }
        }
        if (std::max(used, billed) > plan.deposits) {
            this->report("overspend",
                         name + " used " + std::to_string(used) + " of " + std::to_string(plan.deposits));
        }
        if (granted > plan.deposits) {
            this->report("overgrant", name + " granted " + std::to_string(granted) + " of " +
                                          std::to_string(plan.deposits));
        }
    }

    void check_complete(const plan_state& plan, const std::string& name)
    {
        for (const auto& [id, holder] : plan.holders) {
            const bool is_expected = !holder.is_closed && !this->options.lost_holders.contains(id);
            if (is_expected && holder.entry.spent != holder.used) {
                std::string detail = name;
                detail.append(" at ").append(id).append(": used ").append(std::to_string(holder.used));
                detail.append(", billed ").append(std::to_string(holder.entry.spent));
                this->report("use_not_billed", detail);
            }
        }
    }

    const history_options options;
    std::map<std::string, plan_state> plans;
    std::vector<history_violation> violations;
    std::size_t index = 0;
};

} // namespace

std::string_view to_string(budget_event_kind kind) noexcept
{
    switch (kind) {
    case budget_event_kind::deposit:
        return "deposit";
    case budget_event_kind::ledger_write:
        return "ledger_write";
    case budget_event_kind::closure:
        return "closure";
    case budget_event_kind::reservation:
        return "reservation";
    case budget_event_kind::dispatch:
        return "dispatch";
    case budget_event_kind::settlement:
        break;
    }
    return "settlement";
}

std::vector<history_violation> check_history(const std::vector<budget_event>& events,
                                             const history_options& options)
{
    return checker(options).run(events);
}

} // namespace samphireway::budget
