// Control thread methods of the load gate: they plan the ledger calls and apply the results.

#include "limits/gate/load_gate.h"

#include <algorithm>

namespace samphireway::limits {

namespace {

using std::chrono::milliseconds;

// A share follows the peak of the current and the previous window, so it survives a pause of a few seconds.
constexpr milliseconds peak_window{5000};
// While demand is unmet, the ledger is read twice a second. Otherwise a read every few seconds is
// enough to see other nodes' demand and expired holders.
constexpr milliseconds contended_read_interval{500};
constexpr milliseconds read_interval{3000};
constexpr milliseconds failed_call_delay{500};
// Shortest time between attempts of a draw or limit change. One that has no effect, because another node
// has written the limit of a newer configuration, must not be written again on every tick.
constexpr milliseconds attempt_interval{50};
constexpr std::array kinds{load_kind::requests, load_kind::tokens};

} // namespace

void load_gate::update_peak(account_share& account, amount level) const
{
    account.peaks[0] = std::max(account.peaks[0], level);
}

std::map<std::string, load_gate::queued_load> load_gate::queued_demand() const
{
    std::map<std::string, queued_load> demand;
    const auto may_have_more = [&](const std::string& id) {
        const auto found = this->upstreams.find(id);
        return found != this->upstreams.end() &&
               std::all_of(found->second.accounts.begin(), found->second.accounts.end(),
                           [](const auto& account) {
                               return !account.last_read.exists || account.last_read.available > 0;
                           });
    };
    this->queue.for_each([&](const waiter& waiting) {
        const auto best = std::find_if(waiting.upstreams.begin(), waiting.upstreams.end(), may_have_more);
        queued_load& load = demand[best == waiting.upstreams.end() ? waiting.upstreams.front() : *best];
        load.sum[0] += 1;
        load.sum[1] += waiting.request.estimate;
        load.largest[0] = 1;
        load.largest[1] = std::max(load.largest[1], waiting.request.estimate);
    });
    return demand;
}

std::vector<ledger_call> load_gate::collect_due_calls(core::steady_time now)
{
    const std::lock_guard lock(this->mutex);
    if (now >= this->window_end) {
        this->window_end = now + peak_window;
        for (auto& [id, share] : this->upstreams) {
            for (account_share& account : share.accounts) {
                account.peaks = {account.holder->reserved(), account.peaks[0]};
                account.refused_demand = {0, account.refused_demand[0]};
            }
        }
    }
    std::vector<ledger_call> due;
    for (auto& [shard, state] : this->shards) {
        if (state.is_call_in_flight || now < state.next_call) {
            continue;
        }
        ledger_call call = this->plan_ledger_call(shard, now);
        if (call.update || now >= state.next_read) {
            state.is_call_in_flight = true;
            state.next_read = now + read_interval;
            due.push_back(std::move(call));
        }
    }
    return due;
}

ledger_call load_gate::plan_ledger_call(std::uint32_t shard, core::steady_time now)
{
    shard_state& state = this->shards.at(shard);
    ledger_call call{.shard = shard, .update = {}, .started = now, .started_wall = this->options.time.now()};
    load_update update{.shard = shard,
                       .holder = state.holder,
                       .renewal = state.renewal + 1,
                       .lease = this->options.lease,
                       .request_timeout = this->options.request_timeout,
                       .accounts = {},
                       .expired = this->observer.expired(shard, now)};
    bool has_share = false;
    bool is_active = false;
    std::map<std::string, queued_load> demand = this->queued_demand();
    for (auto& [id, share] : this->upstreams) {
        if (share.shard != shard) {
            continue;
        }
        const queued_load& queued = demand[id];
        for (const load_kind kind : kinds) {
            const auto index = static_cast<std::size_t>(kind);
            std::optional<load_account_update> account_update =
                this->plan_account_update(id, kind, queued, now);
            const account_share& account = share.accounts.at(index);
            has_share = has_share || account.holder->committed_entry().outstanding() > 0;
            is_active = is_active || account.holder->reserved() > 0 || account.unmet_demand > 0;
            if (account_update) {
                update.accounts.push_back(std::move(*account_update));
            }
        }
    }
    std::erase_if(update.expired,
                  [&](const expired_holder& expired) { return expired.holder == state.holder; });
    const bool is_renewal_due = has_share && now >= state.next_renewal;
    if (!update.accounts.empty() || !update.expired.empty() || is_renewal_due) {
        ++state.renewal;
        call.update = std::move(update);
    }
    else if (!is_active) {
        // A node with neither requests in flight nor unmet demand doesn't need to read the shard often.
        state.next_read = now + read_interval;
    }
    return call;
}

share_view load_gate::view_of(const account_share& account) const
{
    const load_summary& last_read = account.last_read;
    return share_view{.limit = last_read.exists ? std::min(account.limit, last_read.limit) : account.limit,
                      .available = last_read.available,
                      .outstanding = last_read.outstanding,
                      .held = account.holder->committed_entry().outstanding(),
                      .in_use = account.holder->reserved(),
                      .peak_demand = std::max(account.peaks[0], account.peaks[1]),
                      .unmet_demand_elsewhere = last_read.unmet_demand_elsewhere,
                      .contenders = last_read.contenders,
                      .is_draining = this->is_draining};
}

std::optional<load_account_update> load_gate::plan_account_update(const std::string& upstream, load_kind kind,
                                                                  const queued_load& queued,
                                                                  core::steady_time now)
{
    const auto index = static_cast<std::size_t>(kind);
    account_share& account = this->upstreams.at(upstream).accounts.at(index);
    // Refused callers retry, so their demand counts for as long as a peak does.
    const amount refused_demand = std::max(account.refused_demand[0], account.refused_demand[1]);
    const amount waiting = std::min(queued.sum.at(index) + refused_demand, account.limit);
    this->update_peak(account, account.holder->reserved() + waiting);
    share_view view = this->view_of(account);
    view.largest_waiting = queued.largest.at(index);
    const bool is_limit_known = account.last_read.exists && account.last_read.limit == account.limit;
    if (!is_limit_known) {
        view.limit = account.limit;
    }
    share_decision decision = decide_share(view);
    account.cap = decide_share(this->view_of(account)).cap;
    const bool is_contended = is_limit_known && account.last_read.available <= 0;
    const amount shortage = std::min(view.in_use + waiting, account.limit) - view.held;
    const amount unmet_demand = is_contended ? std::max<amount>(0, shortage) : 0;
    if (is_contended || now < account.next_attempt) {
        decision.draw = 0;
    }
    if (unmet_demand > 0) {
        shard_state& shard = this->shards.at(this->upstreams.at(upstream).shard);
        shard.next_read = std::min(shard.next_read, now + contended_read_interval);
    }
    const bool is_demand_change = (unmet_demand > 0) != (account.unmet_demand > 0);
    const bool is_limit_change =
        account.last_read.exists && !is_limit_known && view.held > 0 && now >= account.next_attempt;
    const bool is_retry = account.holder->has_write_in_flight();
    if (decision.draw == 0 && decision.give_back == 0 && !is_demand_change && !is_limit_change && !is_retry) {
        return std::nullopt;
    }
    if (decision.draw > 0 || is_limit_change) {
        account.next_attempt = now + attempt_interval;
    }
    account.unmet_demand = unmet_demand;
    return load_account_update{.account = load_account(upstream, kind),
                               .update = account.holder->prepare(decision.draw, decision.give_back),
                               .limit = account.limit,
                               .generation = this->generation,
                               .unmet_demand = unmet_demand};
}

void load_gate::start_new_epoch(std::uint32_t shard)
{
    shard_state& state = this->shards.at(shard);
    ++state.epoch;
    state.holder = this->options.holder + "+" + std::to_string(state.epoch);
    state.renewal = 0;
    state.lease_end = {};
    state.lease_end_wall = {};
    for (auto& [id, share] : this->upstreams) {
        if (share.shard != shard) {
            continue;
        }
        for (account_share& account : share.accounts) {
            account.holder = std::make_unique<escrow::grant_holder>();
            account.cap = 0;
            account.unmet_demand = 0;
        }
    }
}

void load_gate::apply_ledger(std::uint32_t shard, const escrow::ledger& current, bool is_write)
{
    const shard_state& state = this->shards.at(shard);
    for (auto& [id, share] : this->upstreams) {
        if (share.shard != shard) {
            continue;
        }
        for (const load_kind kind : kinds) {
            account_share& account = share.accounts.at(static_cast<std::size_t>(kind));
            const std::string key = load_account(id, kind);
            account.last_read = summarize(current, key, state.holder);
            const auto stored = current.accounts.find(key);
            if (is_write && account.holder->has_write_in_flight() && stored != current.accounts.end()) {
                account.holder->commit(stored->second.holders.at(state.holder));
            }
            account.cap = decide_share(this->view_of(account)).cap;
        }
    }
}

void load_gate::complete_call(const ledger_call& call, const escrow::ledger& current)
{
    const std::lock_guard lock(this->mutex);
    shard_state& state = this->shards.at(call.shard);
    state.is_call_in_flight = false;
    this->observer.observe(call.shard, leases_of(current), this->options.time.steady());
    const bool had_lease = state.lease_end != core::steady_time{};
    if ((call.update || had_lease) && !has_lease(current, state.holder)) {
        this->start_new_epoch(call.shard);
        core::log_event(core::log_level::warning, "load_shares_released",
                        {{"shard", call.shard}, {"next_holder", state.holder}});
        return;
    }
    if (call.update) {
        state.lease_end = call.started + this->options.lease;
        state.lease_end_wall = call.started_wall + this->options.lease;
        state.next_renewal = call.started + this->options.renew_after;
    }
    this->apply_ledger(call.shard, current, call.update.has_value());
    this->serve_queue();
}

void load_gate::complete_call(const ledger_call& call, const core::error& failure)
{
    const std::lock_guard lock(this->mutex);
    shard_state& state = this->shards.at(call.shard);
    state.is_call_in_flight = false;
    state.next_call = this->options.time.steady() + failed_call_delay;
    if (!call.update || failure.run != core::verdict::not_run) {
        return;
    }
    for (const load_account_update& account_update : call.update->accounts) {
        for (auto& [id, share] : this->upstreams) {
            for (const load_kind kind : kinds) {
                if (load_account(id, kind) == account_update.account) {
                    share.accounts.at(static_cast<std::size_t>(kind)).holder->abandon();
                }
            }
        }
    }
}

void load_gate::start_drain()
{
    const std::lock_guard lock(this->mutex);
    this->is_draining = true;
}

bool load_gate::is_drained() const
{
    const std::lock_guard lock(this->mutex);
    return std::all_of(this->upstreams.begin(), this->upstreams.end(), [](const auto& entry) {
        return std::all_of(entry.second.accounts.begin(), entry.second.accounts.end(),
                           [](const auto& account) {
                               return account.holder->committed_entry().outstanding() == 0 &&
                                      !account.holder->has_write_in_flight();
                           });
    });
}

} // namespace samphireway::limits
