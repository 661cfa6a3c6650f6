#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace samphireway::gateway {

/** A node of the fleet, as registered by itself in the object API. @see member_list */
struct member {
    std::string id;
    std::string address; ///< IP address at which other nodes call it.
    std::uint16_t port = 0;
    std::string token;   ///< Secret with which other nodes show in calls that they have read the entry.
    std::string process; ///< Id under which the node's current process holds grants.
    std::string availability_zone; ///< Empty in entries of older builds.
    /** Relative capacity of the VM for work that it does for other nodes. @see rank_by_capacity */
    double capacity = 1;

    bool operator==(const member&) const = default;
};

/** The nodes of the fleet. Immutable once published. */
struct member_list {
    std::vector<member> members;

    /** The members that draw from the budget ledgers. @see choose_ledger_writers */
    std::vector<member> ledger_writers;

    /** Earlier processes of members that were seen to be replaced by another. */
    std::set<std::string> ended_processes;
};

} // namespace samphireway::gateway
