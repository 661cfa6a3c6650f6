#pragma once

#include "core/core.h"

#include <map>
#include <string>
#include <vector>

namespace samphireway::gateway {

/**
    The nodes that the object API itself has answered a moment ago, as they and relays tell.

    When most nodes are cut off from the object API, the others learn here whom they can ask for budget and
    for changes. An entry that is not renewed expires. Control thread only.

    @see relay_hub, loan_client
*/
class contact_book {
public:
    /** Records that a node was in contact at a time. */
    void record(const std::string& node, core::steady_time now);

    /** Returns the ids of nodes whose entry has not expired, at most a few, the latest first. */
    std::vector<std::string> read(core::steady_time now) const;

private:
    std::map<std::string, core::steady_time> seen;
};

} // namespace samphireway::gateway
