#pragma once

#include "core/core.h"

#include <condition_variable>
#include <cstddef>
#include <memory>
#include <mutex>

namespace samphireway::traffic {

/**
    Counts requests in flight and refuses new ones during a planned stop.

    The HTTP library cuts off chunked answers as soon as its server stops. A planned stop therefore
    waits for the requests in flight first, while the server still listens and new requests are refused
    with the verdict `not_run`.

    @see front_server
*/
class drain_gate {
public:
    drain_gate();

    /**
        Counts a request as in flight until the returned ticket is destroyed. Returns null while new
        requests are refused.
    */
    std::shared_ptr<void> begin_request();

    /** Starts refusing new requests. */
    void refuse_new();

    /**
        Waits until no request is in flight; returns false when the deadline passes or `interrupt` is
        called first.
    */
    bool wait_until_idle(core::steady_time deadline);

    /** Ends current and later calls of `wait_until_idle` at once, until `resume_waiting` is called. */
    void interrupt();

    /** Reverses `interrupt`: waits last until their deadlines again. */
    void resume_waiting();

    /** Returns the number of requests in flight. */
    std::size_t active() const;

private:
    struct state {
        mutable std::mutex mutex;
        std::condition_variable changed;
        std::size_t active = 0;
        bool is_refusing = false;
        bool is_interrupted = false;
    };

    std::shared_ptr<state> shared; ///< Tickets share it and may outlive the gate.
};

/**
    Returns the error for a request that arrives during a planned stop: `draining`, verdict `not_run`.
*/
core::error draining_failure();

} // namespace samphireway::traffic
