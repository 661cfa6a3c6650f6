#include "budget/purse/plan_account.h"

#include <algorithm>
#include <cmath>

namespace samphireway::budget {

namespace {

using std::chrono::milliseconds;

// Near the end other nodes need the settled state to know what is left.
constexpr milliseconds end_settle_interval{500};
constexpr milliseconds waiting_read_interval{300};
// A marked need must be seen and answered within a waiting request's deadline of 1.5 s, twice if need be.
constexpr milliseconds end_read_interval{500};
// Bounds how late a reduction or the need of another holder is seen far from the end.
constexpr milliseconds read_interval{5000};
constexpr milliseconds demand_interval{1000};
// A plan without requests for this long gives its grant back. Small plans have minutes between requests at a
// node.
constexpr milliseconds idle_after{600000};
// A need that its holder has not written again for this long counts as gone: the holder ended or is cut off.
constexpr milliseconds need_lifetime{5000};

} // namespace

account_summary summarize(const escrow::account& account, const std::string& holder)
{
    account_summary summary{.is_known = true, .exists = true, .is_removed = account.is_removed};
    summary.limit = account.limit();
    summary.spent = account.spent();
    summary.outstanding = account.outstanding();
    summary.available = summary.limit - summary.spent - summary.outstanding;
    summary.pending_reduction = account.pending_reduction();
    if (account.is_removed) {
        summary.pending_reduction = summary.limit - summary.spent;
    }
    for (const auto& [id, entry] : account.holders) {
        if (id == holder) {
            continue;
        }
        summary.others_demand += entry.demand_per_second;
    }
    summary.holders = std::max<std::size_t>(1, account.holders.size());
    return summary;
}

plan_account::plan_account(std::string given_holder, const draw_options& given)
    : node_holder(std::move(given_holder)), options(given)
{
}

std::string plan_account::holder_id() const
{
    return this->holder_id(this->holder.epoch());
}

std::string plan_account::holder_id(std::uint32_t epoch) const
{
    return epoch == 0 ? this->node_holder : this->node_holder + "." + std::to_string(epoch);
}

draw_input plan_account::input(core::steady_time now) const
{
    draw_input input{.free = this->holder.free()};
    for (const escrow::amount wanted : this->waiting) {
        input.waiting += wanted;
    }
    input.smallest_waiting = this->waiting.empty() ? 0 : *this->waiting.begin();
    input.demand_per_second = std::llround(std::ceil(this->demand_per_second));
    input.is_idle = now - this->last_request >= idle_after;
    input.age = std::chrono::duration_cast<std::chrono::seconds>(now - this->demand_since);
    input.available = this->known.is_known ? this->known.available : 0;
    input.outstanding = this->known.outstanding;
    input.others_demand = this->known.others_demand;
    input.pending_reduction = this->known.pending_reduction;
    input.others_wanted = this->known.others_wanted;
    input.holders = this->known.holders;
    input.limit = this->known.limit;
    return input;
}

void plan_account::update_demand(core::steady_time now)
{
    const escrow::amount spent =
        this->holder.spent() +
        (this->options.counts_reservations ? this->holder.reserved() : escrow::amount{0});
    if (this->demand_since == core::steady_time{}) {
        this->demand_since = now;
        this->demand_updated = now;
        this->spent_at_update = spent;
        return;
    }
    const auto elapsed = now - this->demand_updated;
    if (elapsed < demand_interval) {
        return;
    }
    const double seconds = std::chrono::duration<double>(elapsed).count();
    const double age = std::chrono::duration<double>(now - this->demand_since).count();
    const escrow::amount change = spent - this->spent_at_update;
    const escrow::amount counted =
        this->options.counts_reservations ? change : std::max<escrow::amount>(0, change);
    const double rate = static_cast<double>(counted) / seconds;
    // In the first seconds the average counts, later the smoothed recent rate.
    const auto smoothing = static_cast<double>(this->options.demand_smoothing.count());
    const double weight = std::max(1 - std::exp(-seconds / smoothing), seconds / age);
    this->demand_per_second += (rate - this->demand_per_second) * std::min(1.0, weight);
    this->demand_per_second = std::max(0.0, this->demand_per_second);
    this->demand_updated = now;
    this->spent_at_update = spent;
    if (this->demand_per_second < 0.5 && now - this->last_request >= idle_after) {
        this->demand_per_second = 0;
    }
}

plan_account::evaluation plan_account::evaluate(core::steady_time now, bool is_draining) const
{
    evaluation found{.input = this->input(now)};
    draw_decision& decision = found.decision;
    decision = decide_draw(this->options, found.input);
    const escrow::holder_entry committed = this->holder.committed_entry();
    if (is_draining) {
        decision = draw_decision{.give_back = found.input.free, .is_urgent = true};
        found.is_final = committed.sequence > 0 && this->holder.reserved() == 0;
    }
    if (this->known.is_known && (!this->known.exists || this->known.available <= 0)) {
        decision.draw = 0;
    }
    const bool marks_need = (decision.wanted > 0) != (committed.wanted > 0);
    const bool moves_money = decision.draw > 0 || decision.give_back > 0;
    const bool is_unresolved = this->holder.has_write_in_flight();
    found.has_change =
        moves_money || marks_need || found.is_final || is_unresolved || this->holder.has_unsettled_spend();
    found.is_needed_now =
        (decision.is_urgent && (moves_money || marks_need)) || found.is_final || is_unresolved;
    return found;
}

ledger_need plan_account::need(core::steady_time now, bool is_draining)
{
    this->update_demand(now);
    if (this->must_confirm) {
        const bool is_due = now - this->known.requested_at >= waiting_read_interval;
        return is_due ? ledger_need::urgent_read : ledger_need::none;
    }
    const evaluation found = this->evaluate(now, is_draining);
    if (found.is_needed_now) {
        return ledger_need::urgent_write;
    }
    if (found.has_change && now >= this->write_due) {
        const bool is_tail = phase_of(this->options, found.input) == plan_phase::tail;
        return is_tail || !this->waiting.empty() ? ledger_need::urgent_write : ledger_need::write;
    }
    return this->read_need(now, found.input);
}

std::optional<escrow::entry_update> plan_account::prepare(core::steady_time now, core::wall_time wall,
                                                          bool is_draining)
{
    const evaluation found = this->evaluate(now, is_draining);
    if (this->must_confirm || !found.has_change) {
        return std::nullopt;
    }
    const bool is_settled_often =
        is_scarce(this->options, found.input) || phase_of(this->options, found.input) == plan_phase::tail;
    this->write_due = now + (is_settled_often ? end_settle_interval : this->options.settle_interval);
    return this->holder.prepare(escrow::entry_update{.draw = found.decision.draw,
                                                     .give_back = found.decision.give_back,
                                                     .wanted = found.decision.wanted,
                                                     .demand_per_second = found.input.demand_per_second,
                                                     .written_at_ms = core::to_unix_ms(wall),
                                                     .is_final = found.is_final});
}

ledger_need plan_account::read_need(core::steady_time now, const draw_input& input) const
{
    const auto age = now - this->known.requested_at;
    if (!this->waiting.empty()) {
        const bool is_due = !this->known.is_known || age >= waiting_read_interval;
        return is_due ? ledger_need::urgent_read : ledger_need::none;
    }
    if (!this->known.is_known || input.free <= 0) {
        return ledger_need::none;
    }
    return age >= (is_scarce(this->options, input) ? end_read_interval : read_interval) ? ledger_need::read
                                                                                        : ledger_need::none;
}

void plan_account::observe(const escrow::account* account, core::steady_time requested_at)
{
    const escrow::holder_entry committed = this->holder.committed_entry();
    const std::string id = this->holder_id();
    const bool has_entry = account != nullptr && account->holders.contains(id);
    if (committed.sequence > 0 && !has_entry) {
        this->holder.restart(); // A write in flight cannot take effect on a closed entry either.
    }
    this->known =
        account == nullptr ? account_summary{.is_known = true} : summarize(*account, this->holder_id());
    this->known.others_wanted = account == nullptr ? 0 : this->sum_wanted(*account, requested_at);
    this->known.requested_at = requested_at;
    this->must_confirm = false;
    ++this->changes;
}

escrow::amount plan_account::sum_wanted(const escrow::account& account, core::steady_time seen_at)
{
    std::erase_if(this->seen_writes,
                  [&account](const auto& entry) { return !account.holders.contains(entry.first); });
    const std::string own = this->holder_id();
    escrow::amount sum = 0;
    for (const auto& [id, entry] : account.holders) {
        auto& [sequence, written] = this->seen_writes[id];
        if (sequence != entry.sequence) {
            sequence = entry.sequence;
            written = seen_at;
        }
        sum += id != own && seen_at - written < need_lifetime ? entry.wanted : 0;
    }
    return sum;
}

bool plan_account::is_exhausted(escrow::amount wanted, core::steady_time since) const
{
    return this->known.is_known && this->known.exists && this->known.requested_at >= since &&
           this->known.unspent() < wanted;
}

bool plan_account::is_missing(core::steady_time since) const
{
    return this->known.is_known && this->known.requested_at >= since &&
           (!this->known.exists || this->known.is_removed);
}

} // namespace samphireway::budget
