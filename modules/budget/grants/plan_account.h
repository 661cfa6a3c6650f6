#pragma once

#include "budget/policy/draw_policy.h"
#include "core/core.h"
#include "escrow/escrow.h"

#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>

namespace samphireway::budget {

/** State of a plan's whole account as of the last ledger write or read. @see grant_pool */
struct account_summary {
    bool is_known = false;
    bool exists = false;
    bool is_removed = false;
    escrow::amount limit = 0;
    escrow::amount spent = 0;
    escrow::amount outstanding = 0;
    escrow::amount available = 0;
    escrow::amount pending_reduction = 0;
    escrow::amount others_demand = 0;
    escrow::amount others_wanted = 0;
    std::size_t holder_count = 0;
    core::steady_time requested_at; ///< Start of the ledger call that returned this state.

    /** Returns the tokens that the ledger does not show as spent. */
    escrow::amount unspent() const noexcept
    {
        return this->available + this->outstanding;
    }
};

/**
    Access to its ledger object that a plan needs now, by rising priority. A shard gets the access of
    the highest priority among its plans.

    @see plan_account::need
*/
enum class ledger_need { none, read, write, urgent_read, urgent_write };

/**
    Returns the summary of an account from the view of one of its holders. Leaves `others_wanted` at
    zero.
*/
account_summary summarize(const escrow::account& account, const std::string& holder,
                          std::uint64_t generation = 0);

/**
    One plan at one node: its grant, its waiting requests and the time of its next ledger write.

    Callers hold `mutex` while they call any member function except `holder_id`.

    @see grant_pool
*/
class plan_account {
public:
    plan_account(std::string holder_to_use, const draw_options& options_to_use);

    /**
        Returns the id of this holder's entry in the ledger. Each epoch has its own id, so the id of a
        closed entry is not used again.
    */
    std::string holder_id() const;
    std::string holder_id(std::uint32_t epoch) const;

    /**
        Returns the ledger access that is due now. The caller follows with `prepare` or a read of the
        ledger object.
    */
    ledger_need need(core::steady_time now, bool is_draining);

    /**
        Returns the update to write, or nothing when nothing changed. Also called for plans whose own
        write is not due yet, since all updates of one ledger object are written together.
    */
    std::optional<escrow::entry_update> prepare(core::steady_time now, core::wall_time wall,
                                                bool is_draining);

    /**
        Stores the state of the account as read from or written to the ledger; null when the ledger
        has no such account.
    */
    void observe(const escrow::account* account, std::uint64_t generation, core::steady_time requested_at);

    /** Records a restore of the object API from a backup. @see draws_from */
    void doubt_ledger(core::steady_time now, core::steady_time draw_from);

    /**
        Returns whether a ledger state from `since` or later shows that the unspent amount of the
        whole plan is below `wanted`.
    */
    bool is_exhausted(escrow::amount wanted, core::steady_time since) const;

    /**
        Returns whether a ledger state from `since` or later shows that the plan has no account, or a
        removed one.
    */
    bool is_missing(core::steady_time since) const;

    escrow::grant_holder holder;
    mutable std::mutex mutex;
    std::condition_variable changed;
    account_summary last_summary;
    std::multiset<escrow::amount> waiting; ///< Amounts of waiting requests.
    std::uint64_t change_count = 0;        ///< Rises when waiting requests should try again.
    core::steady_time last_request;
    /**
        Set after a pause of the process. An operator may have closed the entry meanwhile, so nothing
        is reserved until the ledger has been read.
    */
    std::atomic<bool> must_read_ledger = false;
    /** Until then nothing is drawn: after a restore of the object API the ledger may show too much as
     * available, until the other holders have written again what they hold. */
    core::steady_time draws_from;
    /** Set after such a restore until a write that started later has shown the entry to be stored. */
    std::optional<core::steady_time> must_write_since;

private:
    struct evaluation {
        draw_input input;
        draw_decision decision;
        bool is_final = false;
        bool has_change = false;
        bool is_needed_now = false;
    };

    evaluation evaluate(core::steady_time now, bool is_draining) const;
    ledger_need read_need(core::steady_time now, const draw_input& input) const;
    draw_input input(core::steady_time now) const;
    escrow::amount sum_needs_of_others(const escrow::account& account, core::steady_time seen_at);
    void update_demand(core::steady_time now);

    const std::string node_holder;
    const draw_options& options;
    double demand_per_second = 0;
    escrow::amount spent_at_update = 0;
    core::steady_time demand_since;
    core::steady_time demand_updated;
    core::steady_time write_due;
    core::steady_time first_request;

    /**
        Sequence of the last write seen of each holder, and the time at which it was first seen; by
        holder id.
    */
    std::map<std::string, std::pair<std::uint64_t, core::steady_time>> seen_writes;
};

} // namespace samphireway::budget
