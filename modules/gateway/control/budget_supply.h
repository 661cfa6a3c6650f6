#pragma once

#include "budget/budget.h"
#include "core/core.h"
#include "gateway/control/prepaid_deposits.h"
#include "settings/settings.h"

#include <atomic>
#include <functional>
#include <map>
#include <string>

namespace samphireway::gateway {

/** Options of a budget supply. @see budget_supply */
struct budget_supply_options {
    std::string node;
    std::string holder; ///< Id of this process in the ledgers: NODE.SUFFIX, unique to the process.
    platform::object_store store;
    settings::gateway_budget_settings budget;
    std::function<void(std::function<void()>)> run_control; ///< Runs a task on the control thread.
    /** Runs a task on the control thread at a given time. */
    std::function<void(core::steady_time, std::function<void()>)> run_control_at;
    std::function<void(std::function<void()>)> run_blocking; ///< Runs a blocking task on another thread.
    std::function<void()> on_change; ///< Called on the control thread when grants may have changed.
};

/**
    Draws a node's grants from the ledgers in the object API, and raises the ledgers' deposits to the
    configuration's totals. Control thread only, except for the grants and where a function says
    otherwise.

    @see budget::grant_pool
*/
class budget_supply {
public:
    explicit budget_supply(budget_supply_options options_to_use);

    /** Returns the grants from which the traffic thread reserves tokens. */
    budget::grant_pool& grant_pool() noexcept
    {
        return this->account;
    }

    /** Sets what the ledgers should hold besides grants. It is written at `not_before` or later; without a
     * change, nothing is. */
    void set_deposits(deposit_update update, core::steady_time not_before);

    /** Records that the object API was restored from a backup, which may lack the deposits, so that they are
     * stored again. Until then a budget is not known to be exhausted. */
    void on_restore(core::steady_time now);

    /** Starts the draws, settlements and deposit writes whose time has come. Call this periodically. */
    void tick(core::steady_time now);

    /** Starts to return all free tokens to the ledgers. May be called from any thread. */
    void start_drain();

    /** Returns whether all grants are settled and returned. May be called from any thread. */
    bool is_drained() const;

    /** Returns whether the last ledger call got an answer, so that a draw can be expected soon. May be
     * called from any thread. */
    bool can_draw() const noexcept
    {
        return this->is_reachable;
    }

private:
    budget::grant_pool_options grant_options();
    platform::object_store monitored_store();
    void request_draw();
    budget::budget_controller_options controller_options();
    void store_totals();

    const budget_supply_options options;
    std::atomic<bool> is_reachable = true;
    std::atomic<bool> is_draw_requested = false;
    budget::grant_pool account;
    budget::budget_controller controller;
    deposit_update target;
    bool are_totals_stored = true;
    bool is_storing = false;
    core::steady_time next_store_at;
};

} // namespace samphireway::gateway
