#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace samphireway::gateway {

/** A node of the fleet as it registered itself in the object API. @see member_list */
struct member {
    std::string id;
    std::string address; ///< IP number for calls of other nodes.
    std::uint16_t port = 0;
    std::string token; ///< Other nodes prove with it that they have read the entry.

    bool operator==(const member&) const = default;
};

/** The nodes of the fleet. Immutable once published. */
struct member_list {
    std::vector<member> members;
    std::vector<member>
        ledger_writers; ///< Those that draw from the budget ledgers. @see choose_ledger_writers
};

} // namespace samphireway::gateway
