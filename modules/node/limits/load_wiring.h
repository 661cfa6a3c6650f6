#pragma once

#include "configuration/configuration.h"
#include "limits/limits.h"

#include <functional>
#include <memory>

namespace samphireway::node {

/** Options of the load wiring. @see load_wiring */
struct load_wiring_options {
    limits::load_gate_options gate;
    limits::load_controller_options controller;
    /// Returns the snapshot in force.
    std::function<std::shared_ptr<const configuration::snapshot>()> configuration;
};

/**
    Applies the agreed loads of the upstreams in the configuration to a load gate, and runs the
    controller that reads and writes the gate's load shares on the platform.

    @see limits::load_gate
*/
class load_wiring {
public:
    explicit load_wiring(load_wiring_options options);

    /** Applies a changed configuration and starts due platform calls. Runs on the control thread. */
    void tick();

    /** Requests an early tick of the load controller. May be called from any thread. */
    void request_tick();

    /**
        Returns all load shares to the platform and waits for that until the deadline. Returns whether
        all shares were returned. Must not be called on the control thread.
    */
    bool drain(core::steady_time deadline);

    /** Returns the gate that traffic threads use. */
    limits::load_gate& gate();

private:
    const std::function<std::shared_ptr<const configuration::snapshot>()> configuration;
    std::uint64_t generation = 0;
    limits::load_gate admission_gate;
    limits::load_controller controller;
};

} // namespace samphireway::node
