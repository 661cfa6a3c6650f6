#pragma once

/**
    Gateway module: nodes that serve requesters by host and path on the platform's machines.

    The traffic thread reads requests, places them at upstreams and relays the responses. The control thread
    follows the object API and publishes what it learns on the blackboard.
*/

#include "gateway/process/gateway_node.h"
