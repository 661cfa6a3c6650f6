#pragma once

#include "core/core.h"
#include "limits/control/lease_observer.h"
#include "limits/gate/admission_queue.h"
#include "limits/ledger/load_ledger.h"
#include "limits/policy/share_policy.h"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace samphireway::limits {

class load_gate;

/**
    Reservation of one admitted request in an upstream's agreed load. The destructor releases it.

    @see load_gate::admit
*/
class slot {
public:
    slot() = default;
    slot(slot&& other) noexcept;
    slot& operator=(slot&& other) noexcept;
    slot(const slot&) = delete;
    slot& operator=(const slot&) = delete;
    ~slot();

    /** Returns the id of the upstream that admitted the request. */
    const std::string& upstream() const noexcept;

    /**
        Returns whether the lease that covers the slot is still valid.

        Check this right before each send: the node may have been paused since the admission, and its
        share may have been released to other nodes.
    */
    bool may_send() const;

    /** Releases the reservation before the slot is destroyed. Idempotent. */
    void release() noexcept;

private:
    friend class load_gate;
    slot(load_gate& gate, std::string upstream, admission_request request, std::uint64_t epoch);

    load_gate* owner = nullptr;
    std::string upstream_id;
    admission_request request;
    std::uint64_t epoch = 0;    ///< Epoch of the share at the admission.
    core::steady_time admitted; ///< Time of the admission.
};

/** Options of a gate. @see load_gate */
struct load_gate_options {
    std::string holder; ///< Id of this node's incarnation.
    std::uint32_t ledger_shards = 1;
    core::clock time;
    /**
        Time for which a node that is cut off from the platform serves from its shares. An hour is the
        stated length of a long partition. A dead node's shares stay unusable for as long.
    */
    std::chrono::milliseconds lease{3600000};
    std::chrono::milliseconds renew_after{60000};      ///< Time between renewals of the lease.
    std::chrono::milliseconds request_timeout{600000}; ///< Longest time that this node lets a request run.
    /**
        Covers clocks that run at different rates, and the time between the lease check and the first
        byte.
    */
    std::chrono::milliseconds clock_margin{30000};
    std::size_t queue_capacity = 512; ///< Requests that may wait for a share.
    /** Called from any thread when a request starts to wait for a share. */
    std::function<void()> on_shortage = [] {
    };
};

/** A due read or update of a shard's ledger on the platform. @see load_gate::collect_due_calls */
struct ledger_call {
    std::uint32_t shard = 0;
    std::optional<load_update> update; ///< Empty when the ledger is only read.
    core::steady_time started;         ///< Start of the lease that the update renews, on the steady clock.
    core::wall_time started_wall;      ///< The same time on the wall clock.
};

/** This node's share of one upstream; each array has requests, then tokens. @see load_gate::status */
struct share_status {
    std::string upstream;
    std::array<amount, 2> held{};   ///< Granted to this node.
    std::array<amount, 2> in_use{}; ///< Reserved by requests in flight at this node.
    std::array<amount, 2> limit{};  ///< Agreed load over all nodes.
};

/**
    Admits requests to upstreams within this node's shares of the agreed loads.

    Traffic threads admit and release requests; no method does I/O. The control thread collects the
    ledger calls that are due, has them run on another thread and passes their results back.

    @see slot, decide_share, load_controller
*/
class load_gate {
public:
    explicit load_gate(load_gate_options options);

    /**
        Sets the agreed loads of a configuration generation. Ignores a generation older than the current
        one.
    */
    void configure(const std::vector<agreed_load>& loads, std::uint64_t generation);

    /**
        Admits a request at one upstream without waiting. Fails with `overloaded` and verdict `not_run`.
    */
    core::result<slot> admit(const std::string& upstream, amount estimate);

    /**
        Admits a request at the first of several upstreams with a free share, and waits in the queue for
        one until the request's deadline.

        Fails with `overloaded`, verdict `not_run` and `retry_after` when no share becomes free in time;
        at once when the expected wait exceeds the deadline, the queue is full or no load is agreed.
        Fails with `payload_too_large` when the estimate exceeds the agreed tokens of every upstream.
    */
    core::result<slot> admit(const std::vector<std::string>& upstreams, const admission_request& request);

    /** Returns whether the upstream's share can admit a request of `estimate` tokens without waiting. */
    bool can_admit(const std::string& upstream, amount estimate) const;

    /** Returns the number of this node's requests in flight at an upstream. */
    amount in_flight(const std::string& upstream) const;

    /** Returns the number of this node's requests in flight at all upstreams. */
    amount total_in_flight() const;

    /** Returns the ledger calls due at `now`, at most one for each shard that has no call in flight. */
    std::vector<ledger_call> collect_due_calls(core::steady_time now);

    /** Completes a call with the ledger that it read or wrote. */
    void complete_call(const ledger_call& call, const escrow::ledger& current);

    /** Completes a call that failed. */
    void complete_call(const ledger_call& call, const core::error& failure);

    /** Draws nothing from now on and returns all idle shares. Used at the end of a planned stop. */
    void start_drain();

    /** Returns whether the ledgers record that every share was returned. */
    bool is_drained() const;

    /** Returns this node's shares, for status pages and metrics. */
    std::vector<share_status> status() const;

    /** Returns the number of requests that wait for a share. */
    std::size_t queued() const;

private:
    friend class slot;

    struct account_share {
        std::unique_ptr<escrow::grant_holder> holder = std::make_unique<escrow::grant_holder>();
        amount limit = 0;              ///< Agreed load of the configuration.
        amount cap = 0;                ///< Most that requests may reserve at this node.
        load_summary last_read;        ///< The account as last read from the ledger.
        std::array<amount, 2> peaks{}; ///< Peaks of use plus demand in this window and the one before.
        std::array<amount, 2> refused_demand{}; ///< Demand refused in this window and the one before.
        amount unmet_demand = 0;                ///< Unmet demand as last written to the ledger.
        core::steady_time next_attempt;         ///< Earliest time of the next draw or limit change.
    };

    struct upstream_share {
        std::uint32_t shard = 0;
        std::array<account_share, 2> accounts;
    };

    struct queued_load {
        std::array<amount, 2> sum{};     ///< Demand of all waiting requests.
        std::array<amount, 2> largest{}; ///< Demand of the largest waiting request.
    };

    struct shard_state {
        std::string holder;
        std::uint64_t epoch = 0; ///< Rises when the shares were released; invalidates older slots.
        std::uint64_t renewal = 0;
        core::steady_time lease_end;
        core::wall_time lease_end_wall;
        core::steady_time next_renewal;
        core::steady_time next_read;
        core::steady_time next_call;
        bool is_call_in_flight = false;
    };

    bool has_valid_lease(const shard_state& shard) const;
    bool has_free_share(const upstream_share& share, amount estimate) const;
    core::result<slot> try_reserve(const std::string& upstream, const admission_request& request);
    bool try_serve(waiter& waiting, std::size_t upstream_count, std::map<std::string, bool>& blocked);
    void serve_queue();
    std::chrono::milliseconds expected_wait(const std::string& workspace) const;
    tl::unexpected<core::error> record_refusal(const std::string& upstream, const admission_request& request,
                                               const std::string& message);
    core::error overload_error(const std::string& workspace, const std::string& message) const;
    bool is_valid(const slot& checked) const;
    void release(slot& released) noexcept;
    std::map<std::string, queued_load> queued_demand() const;
    share_view view_of(const account_share& account) const;
    ledger_call plan_ledger_call(std::uint32_t shard, core::steady_time now);
    std::optional<load_account_update> plan_account_update(const std::string& upstream, load_kind kind,
                                                           const queued_load& queued, core::steady_time now);
    void update_peak(account_share& account, amount level) const;
    void start_new_epoch(std::uint32_t shard);
    void apply_ledger(std::uint32_t shard, const escrow::ledger& current, bool is_write);

    const load_gate_options options;
    mutable std::mutex mutex;
    std::map<std::string, upstream_share> upstreams;
    std::map<std::uint32_t, shard_state> shards;
    std::map<std::string, amount> in_use_by_workspace;
    admission_queue queue;
    lease_observer observer;
    std::uint64_t generation = 0;
    core::steady_time window_end;
    /** Moving average of the time from admission to release. */
    std::chrono::microseconds mean_request_duration{0};
    bool is_draining = false;
};

} // namespace samphireway::limits
