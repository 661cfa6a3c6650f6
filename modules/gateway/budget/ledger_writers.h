#pragma once

#include "gateway/model/member.h"

#include <cstddef>
#include <string>
#include <vector>

namespace samphireway::gateway {

/**
    Returns the nodes that draw from the budget ledgers, at most `maximum` of them. The others borrow
    from these.

    In a small fleet all nodes draw. In a larger fleet each additional writer would increase the
    conflicts between ledger writes, so only a subset draws. The nodes are ranked by capacity and the hash
    of their ids, so every node computes the same subset, and a node that joins or leaves replaces at most
    one writer.

    @see loan_client
*/
std::vector<member> choose_ledger_writers(const std::vector<member>& nodes, std::size_t maximum);

/** Returns whether a node draws from the ledgers itself. Also true while the list of nodes is not known
 * yet, or names no writers. */
bool is_ledger_writer(const member_list* known, const std::string& node);

} // namespace samphireway::gateway
