#include "escrow/holder/grant_holder.h"

#include <algorithm>
#include <cassert>

namespace samphireway::escrow {

bool grant_holder::reserve(amount wanted)
{
    return this->reserve_in_epoch(wanted).has_value();
}

std::optional<std::uint32_t> grant_holder::reserve_in_epoch(amount wanted)
{
    assert(wanted >= 0);
    const std::lock_guard lock(this->mutex);
    if (wanted > this->free_locked()) {
        return std::nullopt;
    }
    this->reserved_total += wanted;
    return this->current_epoch;
}

void grant_holder::settle(amount amount_reserved, amount used)
{
    this->settle(amount_reserved, used, 0, this->epoch());
}

void grant_holder::settle(amount amount_reserved, amount used, std::uint64_t request_hash,
                          std::uint32_t epoch)
{
    assert(0 <= used && used <= amount_reserved);
    const std::lock_guard lock(this->mutex);
    if (epoch != this->current_epoch) {
        return;
    }
    assert(amount_reserved <= this->reserved_total);
    this->reserved_total -= amount_reserved;
    this->unwritten_spent += used;
    if (request_hash != 0 && used > 0) {
        this->unwritten_bills.push_back({.request_hash = request_hash, .used = used});
    }
}

amount grant_holder::free() const
{
    const std::lock_guard lock(this->mutex);
    return this->free_locked();
}

amount grant_holder::reserved() const
{
    const std::lock_guard lock(this->mutex);
    return this->reserved_total;
}

amount grant_holder::spent() const
{
    const std::lock_guard lock(this->mutex);
    return this->spent_locked();
}

holder_entry grant_holder::committed_entry() const
{
    const std::lock_guard lock(this->mutex);
    return this->committed;
}

std::uint32_t grant_holder::epoch() const
{
    const std::lock_guard lock(this->mutex);
    return this->current_epoch;
}

bool grant_holder::has_unsettled_spend() const
{
    const std::lock_guard lock(this->mutex);
    return this->in_flight_spent + this->unwritten_spent != 0;
}

entry_update grant_holder::prepare(amount draw, amount give_back)
{
    return this->prepare(entry_update{.draw = draw, .give_back = give_back});
}

entry_update grant_holder::prepare(entry_update requested)
{
    const std::lock_guard lock(this->mutex);
    if (this->in_flight) {
        return *this->in_flight;
    }
    const amount idle = std::max<amount>(0, this->free_locked());
    requested.draw = std::max<amount>(0, requested.draw);
    requested.give_back = std::clamp<amount>(requested.give_back, 0, idle);
    requested.granted_before = this->committed.granted;
    requested.returned_before = this->committed.returned;
    requested.spent_total = this->spent_locked();
    requested.sequence = this->committed.sequence + 1;
    requested.bills = std::move(this->unwritten_bills);
    this->unwritten_bills.clear();
    this->in_flight_spent = this->unwritten_spent;
    this->unwritten_spent = 0;
    this->in_flight = std::move(requested);
    return *this->in_flight;
}

bool grant_holder::has_write_in_flight() const
{
    const std::lock_guard lock(this->mutex);
    return this->in_flight.has_value();
}

void grant_holder::commit(const holder_entry& entry)
{
    const std::lock_guard lock(this->mutex);
    if (entry.is_closed) {
        this->start_new_epoch_locked();
        return;
    }
    this->committed = entry;
    this->in_flight.reset();
    this->in_flight_spent = 0;
    this->is_outcome_unknown = false;
}

void grant_holder::mark_outcome_unknown()
{
    const std::lock_guard lock(this->mutex);
    this->is_outcome_unknown = true;
}

void grant_holder::abandon()
{
    const std::lock_guard lock(this->mutex);
    if (!this->in_flight || this->is_outcome_unknown) {
        return;
    }
    std::vector<bill>& bills = this->in_flight->bills;
    bills.insert(bills.end(), this->unwritten_bills.begin(), this->unwritten_bills.end());
    this->unwritten_bills = std::move(bills);
    this->unwritten_spent += this->in_flight_spent;
    this->in_flight_spent = 0;
    this->in_flight.reset();
}

void grant_holder::start_new_epoch()
{
    const std::lock_guard lock(this->mutex);
    this->start_new_epoch_locked();
}

void grant_holder::start_new_epoch_locked()
{
    this->committed = {};
    this->reserved_total = 0;
    this->in_flight_spent = 0;
    this->unwritten_spent = 0;
    this->unwritten_bills.clear();
    this->in_flight.reset();
    this->is_outcome_unknown = false;
    ++this->current_epoch;
}

amount grant_holder::spent_locked() const
{
    return this->committed.spent + this->in_flight_spent + this->unwritten_spent;
}

amount grant_holder::free_locked() const
{
    const amount pending_return = this->in_flight ? this->in_flight->give_back : 0;
    return this->committed.granted - this->committed.returned - this->spent_locked() - this->reserved_total -
           pending_return;
}

} // namespace samphireway::escrow
