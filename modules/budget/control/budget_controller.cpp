#include "budget/control/budget_controller.h"

namespace samphireway::budget {

budget_controller::budget_controller(grant_pool& grants_to_use, budget_controller_options options_to_use)
    : grants(grants_to_use), options(std::move(options_to_use))
{
}

void budget_controller::tick()
{
    this->is_tick_requested = false;
    for (shard_update& update : this->grants.collect_updates(this->options.time.steady())) {
        this->start_write(std::move(update));
    }
}

void budget_controller::request_tick()
{
    if (this->is_tick_requested.exchange(true)) {
        return;
    }
    this->options.run_control([this] { this->tick(); });
}

void budget_controller::start_write(shard_update update)
{
    escrow::ledger_client* client = &this->client_of(update.shard);
    this->options.run_blocking([this, client, update = std::move(update)] {
        const std::uint64_t calls_before = client->calls();
        const core::result<escrow::ledger> outcome = execute_update(*client, this->options.store, update);
        const std::uint64_t calls = client->calls() - calls_before;
        this->options.run_control([this, update, outcome, calls] {
            this->grants.count_calls(calls);
            if (outcome) {
                this->grants.finish_update(update, *outcome);
                return;
            }
            core::log_event(core::log_level::warning, "ledger_write_failed",
                            {{"shard", update.shard},
                             {"code", core::to_string(outcome.error().code)},
                             {"verdict", core::to_string(outcome.error().run)},
                             {"reason", outcome.error().message}});
            this->grants.finish_update(update, outcome.error());
        });
    });
}

escrow::ledger_client& budget_controller::client_of(std::uint32_t shard)
{
    std::unique_ptr<escrow::ledger_client>& client = this->clients[shard];
    if (!client) {
        client = std::make_unique<escrow::ledger_client>(grant_pool::object_key(shard));
    }
    return *client;
}

core::result<escrow::ledger> execute_update(escrow::ledger_client& client,
                                            const platform::object_store& store, const shard_update& update)
{
    if (update.updates.empty()) {
        return client.read(store);
    }
    return client.update(store,
                         [&update](escrow::ledger& ledger) { return apply_shard_update(ledger, update); });
}

bool apply_shard_update(escrow::ledger& target, const shard_update& update)
{
    bool is_changed = false;
    for (const account_update& item : update.updates) {
        const auto found = target.accounts.find(item.plan);
        if (found == target.accounts.end()) {
            continue;
        }
        const auto earlier = found->second.holders.find(item.holder);
        const bool is_already_applied =
            earlier != found->second.holders.end() && earlier->second.sequence >= item.update.sequence;
        const escrow::holder_entry entry =
            escrow::apply_update(found->second, item.holder, item.update, target.generation);
        if (is_already_applied || entry.is_closed) {
            continue;
        }
        is_changed = true;
        escrow::fold_old_entries(found->second, item.update.written_at_ms);
    }
    escrow::drop_excess_request_ids(target);
    return is_changed;
}

} // namespace samphireway::budget
