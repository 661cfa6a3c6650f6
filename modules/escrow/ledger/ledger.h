#pragma once

#include "core/core.h"

#include <algorithm>
#include <cstdint>
#include <json/json.h>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace samphireway::escrow {

/** Amount of tokens, or of requests in flight, depending on the account. */
using amount = std::int64_t;

/**
    The amounts that one holder has drawn from an account and spent. `granted`, `spent` and `returned`
    are cumulative, and only writes of the holder raise them.

    @see account
*/
struct holder_entry {
    amount granted = 0;
    amount spent = 0;
    amount returned = 0;
    /** Rises by one with each write of the holder. Identifies a write whose response was lost. */
    std::uint64_t sequence = 0;
    amount wanted = 0;              ///< Unmet need of the holder's waiting requests.
    amount demand_per_second = 0;   ///< Recent use at the holder; decides its share of the account.
    std::int64_t written_at_ms = 0; ///< Wall time of the holder's last write, for operators only.
    /** Generation of the object API in which the holder wrote last; zero if it named none. */
    std::uint64_t generation = 0;
    bool is_closed = false; ///< Not stored: the account has no such entry any more.

    /** Returns the amount that the holder may still spend. Negative if the ledger has lost a grant that was
     * spent, as after a restore of the object API from a backup. */
    amount outstanding() const noexcept
    {
        return this->granted - this->spent - this->returned;
    }

    /** Returns the amount that is lost if the holder is gone. */
    amount in_doubt() const noexcept
    {
        return std::max<amount>(0, this->outstanding());
    }

    /** Returns the amount that was spent from grants which the ledger has lost. */
    amount overspent() const noexcept
    {
        return std::max<amount>(0, -this->outstanding());
    }
};

/**
    A reduction of an account's limit. It takes only amounts that no holder has drawn, so `taken` may
    lag behind `asked`.

    @see account
*/
struct reduction {
    amount asked = 0;
    amount taken = 0;
};

/**
    The result of an operator's closing of a holder whose outstanding amount was in doubt.

    @see close_holder
*/
struct closure {
    amount charged = 0;          ///< Counted as spent.
    amount released = 0;         ///< Became available again.
    std::optional<amount> spent; ///< Settled before; earlier builds do not store it.
    std::int64_t closed_at_ms = 0;
};

/** The end of a holder that has given back all its grants, or had none when its entry was folded. */
struct holder_end {
    amount spent = 0;
    std::int64_t ended_at_ms = 0;
};

/**
    An amount that must not be exceeded, with the grants drawn from it.

    Holders are node incarnations. Invariant: the outstanding grants, the settled spend and the
    available amount add up to the limit.

    @see ledger
*/
struct account {
    std::map<std::string, amount> deposits; ///< By deposit id, so that a repeated deposit counts once.
    std::map<std::string, std::int64_t> deposit_times; ///< Wall time by deposit id, for folding.
    std::map<std::string, reduction> reductions;       ///< By reduction id.
    std::map<std::string, holder_entry> holders;       ///< By holder id.
    std::map<std::string, closure> closures;           ///< By holder id.
    std::map<std::string, holder_end> ended;           ///< By holder id.
    /** Hashes of billed request ids, by billing time in ms, rounded down to the minute. */
    std::map<std::int64_t, std::vector<std::uint64_t>> billed_requests;
    amount closed_spent = 0;    ///< Spend of closed and folded holders, whose entries are removed.
    amount folded_deposits = 0; ///< Sum of old deposits whose ids are no longer kept.
    bool is_removed = false;    ///< Accepts no further deposits and grants nothing more.

    /** Returns the sum of all deposits, less the amounts that reductions have taken. */
    amount limit() const noexcept;

    /** Returns the settled spend of all holders. */
    amount spent() const noexcept;

    /** Returns the sum of the amounts that holders may still spend. */
    amount outstanding() const noexcept;

    /** Returns the part of the limit that is neither spent nor outstanding. */
    amount available() const noexcept;

    /** Returns the part of what is available that is kept back after a restore of the object API: a holder
     * that has not written in the present generation may have drawn as much again as it is known to hold. */
    amount kept_back(std::uint64_t generation) const noexcept;

    /** Returns the amount that reductions still have to take. */
    amount pending_reduction() const noexcept;

    /** Returns whether a holder was closed or has ended, so that it never returns under its id. An API
     * without generations loses nothing, so there an entry is missing only if it has ended. */
    bool has_ended(const std::string& holder, std::uint64_t generation) const noexcept;

    /** Returns whether the account still lists a request id as billed. */
    bool is_billed(std::uint64_t request_hash) const noexcept;
};

/**
    The value of one ledger object: accounts that are written together.

    @see grant_holder
*/
struct ledger {
    std::map<std::string, account> accounts;
    /** Generation of the object API that the last writer knew; zero if none or unknown to it. */
    std::uint64_t generation = 0;
};

/**
    Parses a ledger from its stored form; null is an empty ledger. Fails with `invalid_argument` when
    malformed.
*/
core::result<ledger> ledger_from_json(const Json::Value& json);

/** Returns the stored form of a ledger. @see ledger_from_json */
Json::Value to_json(const ledger& value);

} // namespace samphireway::escrow
