#pragma once

#include "core/core.h"
#include "gateway/model/member.h"
#include "gateway/model/upstream.h"
#include "gateway/quarantine/judge_parts.h"
#include "gateway/rollout/rollout_order.h"
#include "gateway/routes/route_table.h"

#include <string>
#include <vector>

namespace samphireway::gateway {

/**
    Tables that the control thread publishes and the traffic thread reads.

    Each table is null until it is published for the first time.
*/
struct blackboard {
    core::published<route_table> routes{nullptr};
    core::published<upstream_table> upstreams{nullptr};
    core::published<member_list> members{nullptr};
    core::published<rollout_table> rollouts{nullptr};
    /** Parts of prompts that are refused; null while there is none. */
    core::published<part_verdicts> quarantine{nullptr};
    /** Ids of nodes that can reach the object API, the latest known first. @see contact_book */
    core::published<std::vector<std::string>> in_contact{nullptr};
};

} // namespace samphireway::gateway
