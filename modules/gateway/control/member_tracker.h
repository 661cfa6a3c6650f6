#pragma once

#include "core/core.h"
#include "gateway/control/object_follower.h"
#include "gateway/model/member.h"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace samphireway::gateway {

/** Key prefix of the objects in which nodes register themselves. Only samphireway uses this kind. */
inline const std::string members_prefix = "members/";

/** Returns the JSON form in which a node's entry is stored. @see member_from_json */
Json::Value to_json(const member& entry);

/** Decodes a node's entry. Fails with `invalid_argument` if it is malformed. */
core::result<member> member_from_json(const std::string& key, const Json::Value& value);

/** Stores this node's entry and replaces that of an earlier process of the node. Fails like
 * `object_store`, and with `conflict` if other writers keep changing the entry. */
core::result<void> store_member(const platform::object_store& store, const member& entry);

/** Returns whether a batch holds the entry of a node's present process. */
bool has_entry_of(const followed_batch& received, const member& entry);

/** Tracks the registered nodes from a follower's batches. Control thread only. @see object_follower */
class member_tracker {
public:
    /** Constructs a tracker without nodes that lets at most `maximum_to_use` nodes draw from the budget
     * ledgers. */
    explicit member_tracker(std::size_t maximum_to_use) : maximum_ledger_writers(maximum_to_use) {}

    /** Applies a batch, of which a listing replaces all entries, and returns the list of nodes to publish.
     * The first listing after a restore of the object API removes none, as nodes that it lacks register
     * again, and it brings back no process that is known to have ended. */
    std::shared_ptr<const member_list> apply(const followed_batch& received);

private:
    void record_changes(const std::map<std::string, member>& before);

    const std::size_t maximum_ledger_writers;
    std::map<std::string, member> entries;
    std::set<std::string> ended_processes;
};

} // namespace samphireway::gateway
