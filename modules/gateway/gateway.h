#pragma once

/**
    Gateway module: nodes on the platform's machines that route requests to upstreams by host and path.

    The traffic thread reads requests, chooses an upstream for each and relays the responses. The
    control thread watches the object API and publishes routes, upstreams and members as immutable
    tables, which the traffic thread reads.
*/

#include "gateway/process/gateway_node.h"
