#pragma once

#include "gateway/model/member.h"

#include <cstddef>
#include <string>
#include <vector>

namespace samphireway::gateway {

/**
    Chooses the nodes that draw from the budget ledgers; the others borrow from them.

    All nodes of a small fleet draw. In a larger one every further writer adds conflicts to each write of a
    ledger, so a sample draws that stays the same while its nodes are registered.

    @see loan_client
*/
std::vector<member> choose_ledger_writers(const std::vector<member>& nodes, std::size_t maximum);

/** Returns whether a node draws itself. One that does not know the fleet yet does. */
bool is_ledger_writer(const member_list* known, const std::string& node);

} // namespace samphireway::gateway
