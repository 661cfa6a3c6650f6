#pragma once

#include "escrow/escrow.h"

#include <cstddef>

namespace samphireway::limits {

using escrow::amount;

/** State of one account of an upstream as one node sees it. @see decide_share */
struct share_view {
    amount limit = 0;           ///< Agreed load over all nodes.
    amount available = 0;       ///< Not granted at the last read; negative after the limit was lowered.
    amount outstanding = 0;     ///< Granted to all holders at the last read.
    amount held = 0;            ///< Granted to this node.
    amount in_use = 0;          ///< Reserved by requests in flight at this node.
    amount largest_waiting = 0; ///< Demand of the largest request that waits at this node.
    amount peak_demand = 0;     ///< Recent peak of use plus queued and refused demand.
    amount unmet_demand_elsewhere = 0; ///< Demand that other nodes cannot serve from their shares.
    std::size_t contenders = 1;        ///< Nodes with a share or unmet demand, this node included.
    bool is_draining = false;          ///< Whether the node returns its shares before it stops.
};

/** Changes that a node makes to its share. @see decide_share */
struct share_decision {
    amount draw = 0;      ///< Amount to draw from the account.
    amount give_back = 0; ///< Amount of the idle share to return to the account.
    amount cap = 0;       ///< Most that may be in use at this node; requests above it are not admitted.
};

/**
    Decides how a node's share of an agreed load follows demand. A pure function.

    When the owner lowers the agreed load, each holder caps its use at its proportion of the new limit,
    so that the sum of the caps stays within the limit, and returns what is idle above its cap. While
    another node has unmet demand, a holder with more than an equal share returns the idle part of the
    excess, and no node draws above an equal share or, when that is more, its largest waiting request.
*/
share_decision decide_share(const share_view& view);

} // namespace samphireway::limits
