#include "budget/grants/plan_account.h"

#include <algorithm>
#include <cmath>

namespace samphireway::budget {

namespace {

using std::chrono::milliseconds;

// When little is left, other nodes need recent settlements to know the remaining amount.
constexpr milliseconds scarce_settle_interval{500};
constexpr milliseconds waiting_read_interval{300};
// Other holders must see an unmet need and answer it within a waiting request's deadline of 1.5 s,
// with time for a second round.
constexpr milliseconds scarce_read_interval{500};
// Bounds the delay until a reduction or another holder's need is seen while the plan is not scarce.
constexpr milliseconds read_interval{5000};
constexpr milliseconds demand_update_interval{1000};
// A node gives its grant back after this time without requests of the plan. Requests of small plans
// reach a node minutes apart.
constexpr milliseconds idle_after{600000};
// An unmet need whose holder has not written for this long is ignored: the holder has ended or is cut
// off.
constexpr milliseconds need_expiry{5000};

} // namespace

account_summary summarize(const escrow::account& account, const std::string& holder, std::uint64_t generation)
{
    account_summary summary{.is_known = true, .exists = true, .is_removed = account.is_removed};
    summary.limit = account.limit();
    summary.spent = account.spent();
    // What is kept back may still be found available, so it counts as unspent.
    summary.outstanding = account.outstanding() + account.kept_back(generation);
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
    summary.holder_count = std::max<std::size_t>(1, account.holders.size());
    return summary;
}

plan_account::plan_account(std::string holder_to_use, const draw_options& options_to_use)
    : node_holder(std::move(holder_to_use)), options(options_to_use)
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
        input.waiting_total += wanted;
    }
    input.smallest_waiting_request = this->waiting.empty() ? 0 : *this->waiting.begin();
    input.demand_per_second = std::llround(std::ceil(this->demand_per_second));
    input.is_idle = now - this->last_request >= idle_after;
    input.time_in_use = std::chrono::duration_cast<std::chrono::seconds>(now - this->demand_since);
    input.available = this->last_summary.is_known ? this->last_summary.available : 0;
    input.outstanding = this->last_summary.outstanding;
    input.others_demand = this->last_summary.others_demand;
    input.pending_reduction = this->last_summary.pending_reduction;
    input.others_wanted = this->last_summary.others_wanted;
    input.holder_count = this->last_summary.holder_count;
    input.limit = this->last_summary.limit;
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
    if (elapsed < demand_update_interval) {
        return;
    }
    const double seconds = std::chrono::duration<double>(elapsed).count();
    const double age = std::chrono::duration<double>(now - this->demand_since).count();
    const escrow::amount change = spent - this->spent_at_update;
    const escrow::amount counted =
        this->options.counts_reservations ? change : std::max<escrow::amount>(0, change);
    const double rate = static_cast<double>(counted) / seconds;
    // The first seconds use the plain average, later updates exponential smoothing.
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
    evaluation result{.input = this->input(now)};
    draw_decision& decision = result.decision;
    decision = decide_draw(this->options, result.input);
    const escrow::holder_entry committed = this->holder.committed_entry();
    if (is_draining) {
        decision = draw_decision{.give_back = result.input.free, .is_urgent = true};
        result.is_final = committed.sequence > 0 && this->holder.reserved() == 0;
    }
    if (now < this->draws_from || (this->last_summary.is_known && this->last_summary.available <= 0)) {
        decision.draw = 0;
    }
    const bool changes_need = (decision.wanted > 0) != (committed.wanted > 0);
    const bool changes_grant = decision.draw > 0 || decision.give_back > 0;
    const bool is_unresolved = this->holder.has_write_in_flight() || this->must_write_since.has_value();
    // An account that the ledger lacks cannot be written; only a read can show that it was added.
    const bool is_missing = this->last_summary.is_known && !this->last_summary.exists;
    result.has_change = !is_missing && (changes_grant || changes_need || result.is_final || is_unresolved ||
                                        this->holder.has_unsettled_spend());
    result.is_needed_now = result.has_change && ((decision.is_urgent && (changes_grant || changes_need)) ||
                                                 result.is_final || is_unresolved);
    return result;
}

ledger_need plan_account::need(core::steady_time now, bool is_draining)
{
    this->update_demand(now);
    if (this->must_read_ledger) {
        const bool is_due = now - this->last_summary.requested_at >= waiting_read_interval;
        return is_due ? ledger_need::urgent_read : ledger_need::none;
    }
    const evaluation result = this->evaluate(now, is_draining);
    if (result.is_needed_now) {
        return ledger_need::urgent_write;
    }
    if (result.has_change && now >= this->write_due) {
        const bool is_nearly_exhausted =
            phase_of(this->options, result.input) == plan_phase::nearly_exhausted;
        return is_nearly_exhausted || !this->waiting.empty() ? ledger_need::urgent_write : ledger_need::write;
    }
    return this->read_need(now, result.input);
}

std::optional<escrow::entry_update> plan_account::prepare(core::steady_time now, core::wall_time wall,
                                                          bool is_draining)
{
    const evaluation result = this->evaluate(now, is_draining);
    if (this->must_read_ledger || !result.has_change) {
        return std::nullopt;
    }
    const bool is_settled_often = is_scarce(this->options, result.input) ||
                                  phase_of(this->options, result.input) == plan_phase::nearly_exhausted;
    this->write_due = now + (is_settled_often ? scarce_settle_interval : this->options.settle_interval);
    return this->holder.prepare(escrow::entry_update{.draw = result.decision.draw,
                                                     .give_back = result.decision.give_back,
                                                     .wanted = result.decision.wanted,
                                                     .demand_per_second = result.input.demand_per_second,
                                                     .written_at_ms = core::to_unix_ms(wall),
                                                     .is_final = result.is_final});
}

ledger_need plan_account::read_need(core::steady_time now, const draw_input& input) const
{
    const auto age = now - this->last_summary.requested_at;
    if (!this->waiting.empty()) {
        const bool is_due = !this->last_summary.is_known || age >= waiting_read_interval;
        return is_due ? ledger_need::urgent_read : ledger_need::none;
    }
    if (!this->last_summary.is_known || input.free <= 0) {
        return ledger_need::none;
    }
    return age >= (is_scarce(this->options, input) ? scarce_read_interval : read_interval)
               ? ledger_need::read
               : ledger_need::none;
}

void plan_account::doubt_ledger(core::steady_time now, core::steady_time draw_from)
{
    this->draws_from = draw_from;
    if (this->holder.committed_entry().sequence > 0 || this->holder.has_write_in_flight()) {
        this->must_write_since = now;
    }
    this->last_summary = {};
}

void plan_account::observe(const escrow::account* account, std::uint64_t generation,
                           core::steady_time requested_at)
{
    const bool was_stored = this->holder.committed_entry().sequence > 0;
    // An entry that is missing without an end was lost with a restore; the next write completes it.
    const bool has_ended = account == nullptr ? generation == 0
                                              : !account->holders.contains(this->holder_id()) &&
                                                    account->has_ended(this->holder_id(), generation);
    if (was_stored && has_ended) {
        // A write in flight cannot take effect either.
        this->holder.start_new_epoch();
    }
    this->last_summary = account == nullptr ? account_summary{.is_known = true}
                                            : summarize(*account, this->holder_id(), generation);
    this->last_summary.others_wanted =
        account == nullptr ? 0 : this->sum_needs_of_others(*account, requested_at);
    this->last_summary.requested_at = requested_at;
    this->must_read_ledger = false;
    ++this->change_count;
}

escrow::amount plan_account::sum_needs_of_others(const escrow::account& account, core::steady_time seen_at)
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
        sum += id != own && seen_at - written < need_expiry ? entry.wanted : 0;
    }
    return sum;
}

bool plan_account::is_exhausted(escrow::amount wanted, core::steady_time since) const
{
    return this->last_summary.is_known && this->last_summary.exists &&
           this->last_summary.requested_at >= since && this->last_summary.unspent() < wanted;
}

bool plan_account::is_missing(core::steady_time since) const
{
    return this->last_summary.is_known && this->last_summary.requested_at >= since &&
           (!this->last_summary.exists || this->last_summary.is_removed);
}

} // namespace samphireway::budget
