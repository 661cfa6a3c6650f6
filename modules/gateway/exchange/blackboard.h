#pragma once

#include "core/core.h"
#include "gateway/model/member.h"
#include "gateway/model/upstream.h"
#include "gateway/routes/route_table.h"

namespace samphireway::gateway {

/**
    What the control thread publishes for traffic.

    Entries are null until they are first known.
*/
struct blackboard {
    core::published<route_table> routes{nullptr};
    core::published<upstream_table> upstreams{nullptr};
    core::published<member_list> members{nullptr};
};

} // namespace samphireway::gateway
