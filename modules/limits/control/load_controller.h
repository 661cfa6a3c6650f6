#pragma once

#include "limits/gate/load_gate.h"
#include "platform/objects/object_store.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>

namespace samphireway::limits {

/** Options of a load controller. @see load_controller */
struct load_controller_options {
    platform::object_store store;
    core::clock time;
    std::function<void(std::function<void()>)> run_blocking; ///< Runs a blocking task on another thread.
    std::function<void(std::function<void()>)> run_control;  ///< Runs a task on the control thread.
};

/**
    Reads and writes the load ledgers on the platform as a load gate requests.

    The calls run on another thread; their results are passed to the gate on the control thread.

    @see load_gate
*/
class load_controller {
public:
    load_controller(load_gate& gate, load_controller_options options);

    /** Starts all ledger calls that are due. Call on the control thread. */
    void tick();

    /**
        Schedules a tick on the control thread unless one is already scheduled. Any thread may call it.
    */
    void request_tick();

private:
    void start(ledger_call call);

    load_gate& gate;
    const load_controller_options options;
    /** By shard. For the control thread only. */
    std::map<std::uint32_t, std::unique_ptr<escrow::ledger_client>> clients;
    std::atomic<bool> is_tick_requested = false;
};

} // namespace samphireway::limits
