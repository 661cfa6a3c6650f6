#include "budget/grants/grant_pool.h"

#include <algorithm>

namespace samphireway::budget {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds first_retry_delay{200};
// Shorter than a waiting request's deadline, so that a request sent just after an outage is still
// served.
constexpr milliseconds longest_retry_delay{1000};
// Requests of an exhausted plan are refused from a known state of up to this age without a further
// read.
constexpr milliseconds exhausted_state_lifetime{2000};
constexpr milliseconds waiting_check_interval{250};
// The control thread collects updates every 100 ms; a gap of this length means that the process was
// paused.
constexpr std::chrono::seconds pause_detection_time{10};
// Time in which every node that reaches the object API has noticed its restore and written its entries again:
// a waiting call of two seconds, a retry and a write.
constexpr milliseconds rewriting_time{3500};

core::error exhausted(const std::string& plan)
{
    return core::error{.code = core::error_code::budget_exhausted,
                       .message = "the budget of plan " + plan + " does not cover the request"};
}

core::error unavailable(const std::string& plan)
{
    return core::error{.code = core::error_code::budget_unavailable,
                       .message = "no budget of plan " + plan + " could be drawn in time",
                       .retry_after = std::chrono::seconds(1)};
}

core::error missing(const std::string& plan)
{
    return core::error{.code = core::error_code::not_found, .message = "plan " + plan + " has no budget"};
}

void log_draw(const account_update& item, const escrow::holder_entry& entry, const escrow::account& account)
{
    if (item.update.draw == 0 && item.update.give_back == 0) {
        return;
    }
    core::log_event(core::log_level::info, "grant_changed",
                    {{"plan", item.plan},
                     {"asked", item.update.draw},
                     {"returned", item.update.give_back},
                     {"held", entry.outstanding()},
                     {"available", account.available()},
                     {"outstanding", account.outstanding()},
                     {"limit", account.limit()}});
}

void log_existence(const std::string& plan, const account_summary& before, const account_summary& after)
{
    if (before.is_known && before.exists == after.exists) {
        return;
    }
    core::log_event(core::log_level::info, "plan_account_observed",
                    {{"plan", plan}, {"exists", after.exists}, {"limit", after.limit}});
}

} // namespace

grant_pool::grant_pool(grant_pool_options options_to_use)
    : options(std::move(options_to_use)), calls(this->options.calls)
{
}

core::result<reservation> grant_pool::reserve(const std::string& plan, escrow::amount wanted)
{
    const core::steady_time now = this->options.time.steady();
    plan_account& account = this->account_of(plan);
    const bool may_reserve = !account.must_read_ledger && !this->is_paused(now);
    const std::optional<std::uint32_t> epoch =
        may_reserve ? account.holder.reserve_in_epoch(wanted) : std::nullopt;
    {
        const std::lock_guard lock(account.mutex);
        account.last_request = now;
    }
    if (!epoch) {
        return tl::unexpected(unavailable(plan));
    }
    reservation held{
        .plan = plan, .reserved = wanted, .epoch = *epoch, .number = ++this->last_reservation_number};
    this->record_event(budget_event_kind::reservation, account, held, wanted);
    return held;
}

core::result<reservation> grant_pool::reserve_until(const std::string& plan, escrow::amount wanted,
                                                    core::steady_time deadline)
{
    core::result<reservation> first = this->reserve(plan, wanted);
    if (first) {
        return first;
    }
    const waiting_request request = this->start_waiting(plan, wanted, deadline);
    plan_account& account = this->account_of(plan);
    while (true) {
        std::optional<core::result<reservation>> outcome =
            this->try_waiting(request, this->options.time.steady());
        if (outcome) {
            return std::move(*outcome);
        }
        std::unique_lock lock(account.mutex);
        const core::steady_time next = this->options.time.steady() + waiting_check_interval;
        account.changed.wait_until(lock, std::min(deadline, next), [&account, seen = account.change_count] {
            return account.change_count != seen;
        });
    }
}

waiting_request grant_pool::start_waiting(const std::string& plan, escrow::amount wanted,
                                          core::steady_time deadline)
{
    plan_account& account = this->account_of(plan);
    {
        const std::lock_guard lock(account.mutex);
        account.waiting.insert(wanted);
    }
    this->options.on_shortage();
    return waiting_request{
        .plan = plan, .wanted = wanted, .since = this->options.time.steady(), .deadline = deadline};
}

std::optional<core::result<reservation>> grant_pool::try_waiting(const waiting_request& request,
                                                                 core::steady_time now)
{
    plan_account& account = this->account_of(request.plan);
    const core::steady_time known_since =
        std::max<core::steady_time>(request.since - exhausted_state_lifetime, this->trusted_since);
    std::optional<core::result<reservation>> outcome;
    core::result<reservation> reserved = this->reserve(request.plan, request.wanted);
    const std::lock_guard lock(account.mutex);
    if (reserved) {
        outcome = std::move(reserved);
    }
    else if (account.is_missing(known_since)) {
        outcome = tl::unexpected(missing(request.plan));
    }
    else if (account.is_exhausted(request.wanted, known_since)) {
        outcome = tl::unexpected(exhausted(request.plan));
    }
    else if (now >= request.deadline) {
        outcome = tl::unexpected(unavailable(request.plan));
    }
    if (outcome) {
        account.waiting.erase(account.waiting.find(request.wanted));
    }
    return outcome;
}

escrow::amount grant_pool::settle(const reservation& held, escrow::amount used)
{
    return this->settle(held, used, held.request_id);
}

escrow::amount grant_pool::settle(const reservation& held, escrow::amount used, const std::string& request_id)
{
    const escrow::amount billed = std::clamp<escrow::amount>(used, 0, held.reserved);
    plan_account& account = this->account_of(held.plan);
    reservation ended = held;
    ended.request_id = request_id;
    this->record_event(budget_event_kind::settlement, account, ended, billed);
    const std::uint64_t hash = request_id.empty() ? 0 : core::hash64(request_id);
    account.holder.settle(held.reserved, billed, hash, held.epoch);
    const std::lock_guard lock(account.mutex);
    if (!account.waiting.empty()) {
        ++account.change_count;
        account.changed.notify_all();
    }
    return billed;
}

std::vector<shard_update> grant_pool::collect_updates(core::steady_time now)
{
    this->require_read_after_pause(now);
    this->calls.refill(now);
    const std::shared_lock lock(this->mutex);
    std::map<std::uint32_t, ledger_need> needs;
    for (const auto& [plan, account] : this->accounts) {
        const std::uint32_t shard = this->shard_of(plan);
        const shard_state& state = this->shards[shard];
        if (!state.is_in_flight && now >= state.retry_at) {
            const std::lock_guard account_lock(account->mutex);
            needs[shard] = std::max(needs[shard], account->need(now, this->is_draining));
        }
    }
    std::map<std::uint32_t, shard_update> by_shard;
    for (const auto& [shard, need] : needs) {
        const bool is_urgent = need >= ledger_need::urgent_read;
        if (need != ledger_need::none && (this->is_draining || this->calls.allows(is_urgent))) {
            by_shard[shard] = shard_update{.shard = shard, .started_at = now};
            this->shards[shard].is_in_flight = true;
        }
    }
    for (const auto& [plan, account] : this->accounts) {
        const auto found = by_shard.find(this->shard_of(plan));
        const bool is_written = found != by_shard.end() && (needs[found->first] == ledger_need::write ||
                                                            needs[found->first] == ledger_need::urgent_write);
        if (!is_written) {
            continue;
        }
        const std::lock_guard account_lock(account->mutex);
        std::optional<escrow::entry_update> update =
            account->prepare(now, this->options.time.now(), this->is_draining);
        if (update) {
            found->second.updates.push_back(
                account_update{.plan = plan, .holder = account->holder_id(), .update = std::move(*update)});
        }
    }
    std::vector<shard_update> due;
    for (auto& [shard, update] : by_shard) {
        due.push_back(std::move(update));
    }
    return due;
}

void grant_pool::change_and_notify(plan_account& account, const std::function<void(plan_account&)>& change)
{
    {
        const std::lock_guard lock(account.mutex);
        change(account);
        ++account.change_count;
    }
    account.changed.notify_all();
}

void grant_pool::finish_update(const shard_update& update, const escrow::ledger& written)
{
    this->shards[update.shard] = {};
    const std::shared_lock lock(this->mutex);
    for (const account_update& item : update.updates) {
        const auto found = written.accounts.find(item.plan);
        escrow::grant_holder& holder = this->accounts.at(item.plan)->holder;
        if (found == written.accounts.end()) {
            holder.abandon();
            continue;
        }
        const auto entry = found->second.holders.find(item.holder);
        if (entry == found->second.holders.end()) {
            if (found->second.has_ended(item.holder, written.generation)) {
                // The entry was closed or folded, or removed by the final write of a planned stop.
                holder.start_new_epoch();
            }
            else {
                holder.abandon();
            }
            continue;
        }
        record_stored(*this->accounts.at(item.plan), update.started_at);
        holder.commit(entry->second);
        log_draw(item, entry->second, found->second);
    }
    for (const auto& [plan, account] : this->accounts) {
        if (this->shard_of(plan) != update.shard) {
            continue;
        }
        const auto found = written.accounts.find(plan);
        this->change_and_notify(*account, [&, &name = plan](plan_account& target) {
            const account_summary before = target.last_summary;
            target.observe(found == written.accounts.end() ? nullptr : &found->second, written.generation,
                           update.started_at);
            log_existence(name, before, target.last_summary);
        });
    }
}

void grant_pool::record_stored(plan_account& account, core::steady_time written_at)
{
    const std::lock_guard lock(account.mutex);
    if (account.must_write_since && written_at >= *account.must_write_since) {
        account.must_write_since.reset();
    }
}

void grant_pool::finish_update(const shard_update& update, const core::error& failure)
{
    shard_state& state = this->shards[update.shard];
    state.is_in_flight = false;
    state.retry_delay = std::clamp(state.retry_delay * 2, first_retry_delay, longest_retry_delay);
    state.retry_at = this->options.time.steady() + state.retry_delay;
    const std::shared_lock lock(this->mutex);
    for (const account_update& item : update.updates) {
        this->change_and_notify(*this->accounts.at(item.plan), [&failure](plan_account& account) {
            if (failure.run == core::verdict::not_run) {
                account.holder.abandon();
                return;
            }
            account.holder.mark_outcome_unknown();
        });
    }
}

void grant_pool::doubt_ledgers(core::steady_time now)
{
    this->trusted_since = core::steady_time::max();
    this->draws_from = now + rewriting_time;
    const std::shared_lock lock(this->mutex);
    for (const auto& [plan, account] : this->accounts) {
        this->change_and_notify(*account, [now, until = this->draws_from.load()](plan_account& target) {
            target.doubt_ledger(now, until);
        });
    }
}

void grant_pool::trust_ledgers(core::steady_time since)
{
    this->trusted_since = std::max<core::steady_time>(since, this->draws_from);
}

void grant_pool::count_calls(std::uint64_t calls_made)
{
    this->calls.count(calls_made);
}

void grant_pool::start_drain()
{
    this->is_draining = true;
}

bool grant_pool::is_drained() const
{
    const std::shared_lock lock(this->mutex);
    return std::all_of(this->accounts.begin(), this->accounts.end(), [](const auto& entry) {
        const escrow::grant_holder& holder = entry.second->holder;
        return holder.committed_entry().outstanding() == 0 && !holder.has_unsettled_spend();
    });
}

std::uint32_t grant_pool::shard_of(const std::string& plan) const
{
    return static_cast<std::uint32_t>(core::hash64(plan) % this->options.ledger_shards);
}

std::string grant_pool::object_key(std::uint32_t shard)
{
    return "ledger/budget/" + std::to_string(shard);
}

account_summary grant_pool::summary(const std::string& plan) const
{
    const plan_account* account = this->find_account(plan);
    if (account == nullptr) {
        return {};
    }
    const std::lock_guard lock(account->mutex);
    return account->last_summary;
}

escrow::amount grant_pool::free(const std::string& plan) const
{
    const plan_account* account = this->find_account(plan);
    return account == nullptr ? 0 : account->holder.free();
}

bool grant_pool::is_paused(core::steady_time now) const
{
    const core::steady_time last{core::steady_time::duration(this->last_collected_at.load())};
    return last != core::steady_time{} && now - last > pause_detection_time;
}

void grant_pool::require_read_after_pause(core::steady_time now)
{
    if (this->is_paused(now)) {
        const std::shared_lock lock(this->mutex);
        for (const auto& [plan, account] : this->accounts) {
            account->must_read_ledger = account->holder.committed_entry().sequence > 0;
        }
    }
    this->last_collected_at = now.time_since_epoch().count();
}

void grant_pool::record_event(budget_event_kind kind, const plan_account& account, const reservation& held,
                              escrow::amount sum) const
{
    if (!this->options.record) {
        return;
    }
    const std::uint64_t hash = held.request_id.empty() ? 0 : core::hash64(held.request_id);
    this->options.record(budget_event{.kind = kind,
                                      .plan = held.plan,
                                      .holder = account.holder_id(held.epoch),
                                      .request = std::to_string(held.number),
                                      .request_hash = hash,
                                      .sum = sum});
}

plan_account& grant_pool::account_of(const std::string& plan)
{
    {
        const std::shared_lock lock(this->mutex);
        const auto found = this->accounts.find(plan);
        if (found != this->accounts.end()) {
            return *found->second;
        }
    }
    const std::unique_lock lock(this->mutex);
    std::unique_ptr<plan_account>& account = this->accounts[plan];
    if (!account) {
        account = std::make_unique<plan_account>(this->options.holder, this->options.draw);
        account->draws_from = this->draws_from;
    }
    return *account;
}

const plan_account* grant_pool::find_account(const std::string& plan) const
{
    const std::shared_lock lock(this->mutex);
    const auto found = this->accounts.find(plan);
    return found == this->accounts.end() ? nullptr : found->second.get();
}

} // namespace samphireway::budget
