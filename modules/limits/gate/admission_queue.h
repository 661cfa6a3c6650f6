#pragma once

#include "escrow/escrow.h"

#include <condition_variable>
#include <functional>
#include <list>
#include <map>
#include <string>
#include <vector>

namespace samphireway::limits {

using escrow::amount;

/** The share of an upstream's agreed load that one request needs. @see load_gate::admit */
struct admission_request {
    std::string workspace;
    int priority = 0;           ///< Requests of one workspace with a higher priority go first.
    amount estimate = 0;        ///< Most tokens that the request can hold in the engine's memory.
    core::steady_time deadline; ///< Latest time at which the request may be admitted.
};

/**
    Number of upstreams at the head of a waiter's list that are tried before all others. @see load_gate
*/
inline constexpr std::size_t preferred_upstreams = 2;

/** A request that waits for a share. Owned by the thread that waits. @see admission_queue */
struct waiter {
    admission_request request;
    std::vector<std::string> upstreams; ///< Upstreams that the request accepts, in order of preference.
    std::string granted_upstream;       ///< Upstream that admitted the request; empty while it waits.
    std::uint64_t granted_epoch = 0;    ///< Epoch of the share from which the request was admitted.
    bool is_evicted = false;            ///< Whether a full queue dropped the request.
    std::condition_variable changed;    ///< Notified when the request is admitted or evicted.
};

/**
    Queue of requests that wait for a share, in the order in which they are served.

    The workspace with the fewest requests in flight goes first, so a workspace that offers more than
    its fair share waits behind the others whatever priority its requests have. Within a workspace the
    higher priority goes first, then the earlier deadline. Not thread-safe: the gate's lock protects it.

    @see load_gate
*/
class admission_queue {
public:
    explicit admission_queue(std::size_t capacity);

    /**
        Adds a waiter. When the queue is full, evicts the last waiter of the workspace with the most
        waiters. Returns false when the evicted waiter is the added one.
    */
    bool add(waiter& added);

    /** Removes a waiter whose thread stops waiting. Has no effect when it isn't in the queue. */
    void remove(const waiter& removed);

    /**
        Passes waiters in order to `try_serve`, which returns whether it served the waiter, and removes
        those served. `in_use` is the number of requests in flight of each workspace.
    */
    void serve(const std::map<std::string, amount>& in_use, const std::function<bool(waiter&)>& try_serve);

    /** Returns the number of waiters. */
    std::size_t size() const noexcept;

    /** Returns the number of waiters of one workspace. */
    std::size_t size_of(const std::string& workspace) const;

    /** Calls `visit` for each waiter, by workspace and in serving order within each. */
    void for_each(const std::function<void(const waiter&)>& visit) const;

private:
    const std::size_t capacity;
    std::size_t count = 0;
    std::map<std::string, std::list<waiter*>> by_workspace; ///< Waiters of each workspace, in serving order.
};

} // namespace samphireway::limits
