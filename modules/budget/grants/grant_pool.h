#pragma once

#include "budget/grants/call_limiter.h"
#include "budget/grants/plan_account.h"
#include "budget/history/budget_event.h"
#include "budget/policy/draw_policy.h"
#include "core/core.h"
#include "escrow/escrow.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <shared_mutex>
#include <string>
#include <vector>

namespace samphireway::budget {

/**
    An amount of a grant that is set aside for one request until `grant_pool::settle` ends it.

    @see grant_pool::reserve
*/
struct reservation {
    std::string plan;
    escrow::amount reserved = 0;
    std::string request_id;   ///< Request id that the caller sent; empty when it sent none.
    std::uint32_t epoch = 0;  ///< Epoch of the grant that covers the reservation.
    std::uint64_t number = 0; ///< Distinguishes the reservations of a node.
};

/** Options of a grant pool. @see grant_pool */
struct grant_pool_options {
    std::string holder; ///< Id of this node's incarnation.
    /**
        Number of ledger objects. Fixed per deployment, as it decides which object holds a plan's
        account.
    */
    std::uint32_t ledger_shards = 1;
    draw_options draw;
    /** Called from any thread when a request starts to wait for a grant. */
    std::function<void()> on_shortage = [] {
    };
    core::clock time;
    call_limits calls;
    /** Called with each reservation and settlement, when set. */
    std::function<void(const budget_event&)> record;
};

/** The update of one account in a ledger write. @see grant_pool::collect_updates */
struct account_update {
    std::string plan;
    std::string holder;
    escrow::entry_update update;
};

/**
    The updates of one ledger object that are written together. Without updates the object is only
    read.

    @see grant_pool::collect_updates, grant_pool::finish_update
*/
struct shard_update {
    std::uint32_t shard = 0;
    std::vector<account_update> updates;
    core::steady_time started_at;
};

/** A request that waits for a grant. @see grant_pool::start_waiting */
struct waiting_request {
    std::string plan;
    escrow::amount wanted = 0;
    core::steady_time since;
    core::steady_time deadline;
};

/**
    A node's grants from plans' budgets.

    Traffic threads reserve and settle without I/O. The control thread collects the due ledger
    updates, passes them to other threads to be written and then reports their outcome here.

    A control thread that did not run for ten seconds shows that the process was paused. An operator
    may have closed the node's entries meanwhile, so nothing is reserved until the node has read them
    again.

    @see escrow::grant_holder, decide_draw
*/
class grant_pool {
public:
    explicit grant_pool(grant_pool_options options_to_use);

    /**
        Reserves an amount without I/O. Fails with `budget_unavailable` when the grant does not cover
        it now.
    */
    core::result<reservation> reserve(const std::string& plan, escrow::amount wanted);

    /**
        Reserves an amount. Blocks until the deadline for a draw when the grant does not cover it.

        Fails with `budget_exhausted` when the whole account does not cover the amount, `not_found`
        when the account does not exist, and `budget_unavailable` when neither is known in time. The
        verdict is always `not_run`.
    */
    core::result<reservation> reserve_until(const std::string& plan, escrow::amount wanted,
                                            core::steady_time deadline);

    /**
        Counts a request as waiting, so that the next draws cover it, until `try_waiting` returns a
        result.
    */
    waiting_request start_waiting(const std::string& plan, escrow::amount wanted, core::steady_time deadline);

    /**
        Returns the outcome of a waiting request, or nothing while it should continue to wait.

        @see reserve_until
    */
    std::optional<core::result<reservation>> try_waiting(const waiting_request& request,
                                                         core::steady_time now);

    /**
        Ends a reservation with the number of tokens used, of which at most the reserved amount is
        billed. Returns the billed amount. The plan is billed once for a request id; see
        `request_retention_ms`.
    */
    escrow::amount settle(const reservation& held, escrow::amount used);

    /** Ends a reservation in the same way, but bills it under another request id. */
    escrow::amount settle(const reservation& held, escrow::amount used, const std::string& request_id);

    /**
        Returns the updates and reads that are due now, one for each shard. Skips shards whose
        previous update has not finished.
    */
    std::vector<shard_update> collect_updates(core::steady_time now);

    /** Ends an update or read that succeeded, with the ledger as stored. */
    void finish_update(const shard_update& update, const escrow::ledger& written);

    /**
        Ends an update or read that failed. With verdict `may_have_run` the same update is collected
        again.
    */
    void finish_update(const shard_update& update, const core::error& failure);

    /**
        Records that the ledgers were restored from a backup, which may lack deposits and what
        holders have drawn and spent. Until `trust_ledgers` no account is known to be exhausted or
        missing. This node writes its entries again, and draws nothing until the other holders have
        had the time to do the same.
    */
    void doubt_ledgers(core::steady_time now);

    /** Records that ledgers read at a time or later hold all deposits. */
    void trust_ledgers(core::steady_time since);

    /** Counts the platform calls of updates against the call limits. Control thread only. */
    void count_calls(std::uint64_t calls);

    /** From now on, updates give back all free grants and draw nothing. Used by a planned stop. */
    void start_drain();

    /** Returns whether the ledger shows every grant as settled and given back. */
    bool is_drained() const;

    /** Returns the shard that holds a plan's account. */
    std::uint32_t shard_of(const std::string& plan) const;

    /** Returns the object key of a shard's ledger. */
    static std::string object_key(std::uint32_t shard);

    /** Returns the last known summary of a plan's account. */
    account_summary summary(const std::string& plan) const;

    /** Returns the amount that this node can reserve of a plan now. */
    escrow::amount free(const std::string& plan) const;

private:
    struct shard_state {
        bool is_in_flight = false;
        core::steady_time retry_at;
        std::chrono::milliseconds retry_delay{0};
    };

    plan_account& account_of(const std::string& plan);
    const plan_account* find_account(const std::string& plan) const;
    bool is_paused(core::steady_time now) const;
    void require_read_after_pause(core::steady_time now);
    static void record_stored(plan_account& account, core::steady_time written_at);
    void change_and_notify(plan_account& account, const std::function<void(plan_account&)>& change);
    void record_event(budget_event_kind kind, const plan_account& account, const reservation& held,
                      escrow::amount sum) const;

    const grant_pool_options options;
    mutable std::shared_mutex mutex;
    std::map<std::string, std::unique_ptr<plan_account>> accounts;
    std::map<std::uint32_t, shard_state> shards; ///< Control thread only.
    call_limiter calls;                          ///< Control thread only.
    std::atomic<bool> is_draining = false;
    std::atomic<core::steady_time::rep> last_collected_at = 0;
    /** Start of the oldest ledger call whose outcome shows all deposits. */
    std::atomic<core::steady_time> trusted_since{core::steady_time::min()};
    std::atomic<core::steady_time> draws_from{core::steady_time::min()}; ///< @see plan_account::draws_from
    std::atomic<std::uint64_t> last_reservation_number = 0;
};

} // namespace samphireway::budget
