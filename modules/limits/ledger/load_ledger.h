#pragma once

#include "escrow/escrow.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace samphireway::limits {

using escrow::amount;

/** Load over all nodes that the owner of an upstream agreed to. Zero admits no requests. */
struct agreed_load {
    std::string upstream;
    amount requests = 0; ///< Requests in flight.
    amount tokens = 0;   ///< Tokens of the requests in flight.
};

/** Kinds of load; each upstream has one account of each. */
enum class load_kind { requests, tokens };

/** Returns the id of an upstream's account for one kind of load. */
std::string load_account(const std::string& upstream, load_kind kind);

/** Returns the index of the ledger shard that contains an upstream's accounts. */
std::uint32_t load_shard(const std::string& upstream, std::uint32_t shards);

/** Returns the key of the object that stores a shard's ledger. */
std::string load_object_key(std::uint32_t shard);

/** Update of one account in a ledger write. @see load_update */
struct load_account_update {
    std::string account;
    escrow::entry_update update;
    amount limit = 0;
    std::uint64_t generation = 0; ///< Generation of the configuration that sets the limit.
    amount unmet_demand = 0;      ///< Queued and refused demand that the holder's share does not cover.
};

/** A holder whose lease has expired according to an observer. @see lease_observer */
struct expired_holder {
    std::string holder;
    std::uint64_t renewal = 0; ///< Renewal counter seen; the release is skipped when it has changed.
};

/** Updates of one holder to one shard's ledger, written together. @see apply_load_update */
struct load_update {
    std::uint32_t shard = 0;
    std::string holder;
    std::uint64_t renewal = 0; ///< Increases with each write of the holder; 1 creates its lease.
    std::chrono::milliseconds lease{0};
    std::chrono::milliseconds request_timeout{0}; ///< Longest request that the holder may send on its lease.
    std::vector<load_account_update> accounts;
    std::vector<expired_holder> expired; ///< Holders whose shares the update releases.
};

/** A holder's lease as stored in the ledger. @see leases_of */
struct lease_record {
    std::string holder;
    std::uint64_t renewal = 0;
    std::chrono::milliseconds hold_time{0}; ///< The holder's lease plus its longest request.
};

/** Totals of an account that share decisions use. @see summarize */
struct load_summary {
    bool exists = false; ///< Whether the ledger contains the account.
    amount limit = 0;
    amount available = 0;              ///< Not granted to any holder; negative after the limit was lowered.
    amount outstanding = 0;            ///< Granted to all holders.
    amount unmet_demand_elsewhere = 0; ///< Demand of other holders that their shares don't cover.
    std::size_t contenders = 1;        ///< Holders with a share or unmet demand, this one included.
};

/**
    Applies a holder's update to a ledger. Returns false and changes nothing when the holder's shares
    have been released since its last write.

    A limit takes effect only when its configuration generation is higher than the stored one, so a node
    with an old configuration cannot raise a lowered limit again.
*/
bool apply_load_update(escrow::ledger& target, const load_update& update);

/** Returns the leases of all holders in a ledger. */
std::vector<lease_record> leases_of(const escrow::ledger& source);

/** Returns whether the ledger contains a lease of a holder. */
bool has_lease(const escrow::ledger& source, const std::string& holder);

/** Returns the totals of an account from the point of view of one holder. */
load_summary summarize(const escrow::ledger& source, const std::string& account, const std::string& holder);

/** Removes a holder's lease, grants and unmet demand. Returns whether it had any. @see release_holder */
bool remove_holder(escrow::ledger& target, const std::string& holder);

/**
    Releases a holder's shares in all shards at an operator's request, without waiting for the lease to
    expire. Returns the number of ledgers changed. Fails as `escrow::ledger_client::update` does.

    The operator must have made sure that the holder's process has ended and that none of its requests
    still runs at an upstream.
*/
core::result<int> release_holder(const platform::object_store& store, std::uint32_t shards,
                                 const std::string& holder);

} // namespace samphireway::limits
