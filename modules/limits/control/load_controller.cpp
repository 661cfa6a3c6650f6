#include "limits/control/load_controller.h"

namespace samphireway::limits {

load_controller::load_controller(load_gate& gate_to_use, load_controller_options options_to_use)
    : gate(gate_to_use), options(std::move(options_to_use))
{
}

void load_controller::tick()
{
    this->is_tick_requested = false;
    for (ledger_call& call : this->gate.collect_due_calls(this->options.time.steady())) {
        this->start(std::move(call));
    }
}

void load_controller::request_tick()
{
    if (this->is_tick_requested.exchange(true)) {
        return;
    }
    this->options.run_control([this] { this->tick(); });
}

void load_controller::start(ledger_call call)
{
    std::unique_ptr<escrow::ledger_client>& shard_client = this->clients[call.shard];
    if (!shard_client) {
        shard_client = std::make_unique<escrow::ledger_client>(load_object_key(call.shard));
    }
    escrow::ledger_client* client = shard_client.get();
    this->options.run_blocking([this, client, call = std::move(call)] {
        const core::result<escrow::ledger> current =
            call.update ? client->update(
                              this->options.store,
                              [&](escrow::ledger& ledger) { return apply_load_update(ledger, *call.update); })
                        : client->read(this->options.store);
        this->options.run_control([this, call, current] {
            if (current) {
                this->gate.complete_call(call, *current);
                return;
            }
            core::log_event(core::log_level::warning, "load_ledger_call_failed",
                            {{"shard", call.shard},
                             {"code", core::to_string(current.error().code)},
                             {"verdict", core::to_string(current.error().run)},
                             {"reason", current.error().message}});
            this->gate.complete_call(call, current.error());
        });
    });
}

} // namespace samphireway::limits
