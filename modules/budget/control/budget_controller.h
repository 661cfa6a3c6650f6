#pragma once

#include "budget/grants/grant_pool.h"
#include "platform/objects/object_store.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>

namespace samphireway::budget {

/** Options of a budget controller. @see budget_controller */
struct budget_controller_options {
    platform::object_store store;
    core::clock time;
    std::function<void(std::function<void()>)> run_blocking; ///< Runs a blocking task on another thread.
    std::function<void(std::function<void()>)> run_control;  ///< Runs a task on the control thread.
};

/**
    Writes the due updates of a node's grants to the ledgers: collects them on the control thread and
    makes the platform calls on other threads.

    @see grant_pool
*/
class budget_controller {
public:
    budget_controller(grant_pool& grants_to_use, budget_controller_options options_to_use);

    /** Starts all ledger writes and reads that are due. Call on the control thread. */
    void tick();

    /**
        Schedules a `tick` on the control thread unless one is scheduled already. Call from any
        thread.
    */
    void request_tick();

private:
    void start_write(shard_update update);
    escrow::ledger_client& client_of(std::uint32_t shard);

    grant_pool& grants;
    const budget_controller_options options;
    std::map<std::uint32_t, std::unique_ptr<escrow::ledger_client>> clients; ///< Control thread only.
    std::atomic<bool> is_tick_requested = false;
};

/**
    Writes a shard update to its ledger object, or reads the object when the update is empty. Returns
    the ledger as stored, or the error of the platform call.
*/
core::result<escrow::ledger> execute_update(escrow::ledger_client& client,
                                            const platform::object_store& store, const shard_update& update);

/**
    Applies a shard update to a ledger and skips accounts that the ledger does not have. Returns
    whether the ledger changed.

    @see grant_pool::collect_updates
*/
bool apply_shard_update(escrow::ledger& target, const shard_update& update);

} // namespace samphireway::budget
