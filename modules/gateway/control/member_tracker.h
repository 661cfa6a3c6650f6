#pragma once

#include "core/core.h"
#include "gateway/control/object_follower.h"
#include "gateway/model/member.h"

#include <map>
#include <memory>
#include <string>

namespace samphireway::gateway {

/** Prefix of the objects in which nodes register themselves; a kind of the product's own. */
inline const std::string members_prefix = "members/";

/** Returns the stored form of a node's entry. */
Json::Value to_json(const member& entry);

/** Reads a node's entry. Fails with `invalid_argument`. */
core::result<member> member_from_json(const std::string& key, const Json::Value& value);

/** Stores a node's own entry, whatever an earlier process of the node has left. Fails like `object_store`. */
core::result<void> store_member(const platform::object_store& store, const member& entry);

/** Which nodes are registered, from the batches of a follower. Control thread only. @see object_follower */
class member_tracker {
public:
    /** @param given_maximum largest number of nodes that draw from the budget ledgers. */
    explicit member_tracker(std::size_t given_maximum) : maximum_ledger_writers(given_maximum) {}

    /** Takes a batch in and returns the list to publish. */
    std::shared_ptr<const member_list> apply(const followed_batch& received);

private:
    const std::size_t maximum_ledger_writers;
    std::map<std::string, member> entries;
};

} // namespace samphireway::gateway
