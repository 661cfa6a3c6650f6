#pragma once

#include "core/core.h"
#include "gateway/model/member.h"
#include "gateway/model/upstream.h"
#include "gateway/routes/route_table.h"

namespace samphireway::gateway {

/**
    Tables that the control thread publishes and the traffic thread reads.

    Each table is null until it is published for the first time.
*/
struct blackboard {
    core::published<route_table> routes{nullptr};
    core::published<upstream_table> upstreams{nullptr};
    core::published<member_list> members{nullptr};
};

} // namespace samphireway::gateway
