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
    std::string holder; ///< Id of this process's grants: the node, a dot and what tells its processes apart.
    platform::object_store store;
    settings::gateway_budget_settings budget;
    std::function<void(std::function<void()>)> run_control; ///< Runs a task on the control thread.
    std::function<void(core::steady_time, std::function<void()>)> run_control_at;
    std::function<void(std::function<void()>)> run_blocking; ///< Runs a blocking task on another thread.
    std::function<void()> on_change; ///< Called after grants may have changed, on the control thread.
};

/**
    Keeps a node's grants supplied from the ledgers in the object API, and the ledgers' deposits equal to the
    configuration. Control thread, except for the purse.

    @see budget::purse
*/
class budget_supply {
public:
    explicit budget_supply(budget_supply_options given);

    /** Returns the purse from which traffic reserves. */
    budget::purse& purse() noexcept
    {
        return this->account;
    }

    /** Sets the totals of the newest configuration, by workspace; the ledgers get them from `due` on. */
    void set_deposits(std::map<std::string, std::int64_t> totals, core::steady_time due);

    /** Starts what is due. */
    void tick(core::steady_time now);

    /** From now on returns what is free. May be called from any thread. */
    void start_drain();

    /** Returns whether all grants are settled and returned. May be called from any thread. */
    bool is_drained() const;

    /** Returns whether the last call for a ledger was answered, so that a draw can be expected soon. May be
     * called from any thread. */
    bool can_draw() const noexcept
    {
        return this->is_reachable;
    }

private:
    budget::purse_options purse_options_of();
    platform::object_store watched_store();
    void request_draw();
    budget::budget_controller_options controller_options();
    void store_totals();

    const budget_supply_options options;
    std::atomic<bool> is_reachable = true;
    std::atomic<bool> is_draw_requested = false;
    budget::purse account;
    budget::budget_controller controller;
    std::map<std::string, std::int64_t> wanted_totals;
    bool are_totals_stored = true;
    bool is_storing = false;
    core::steady_time store_again_at;
};

} // namespace samphireway::gateway
