#pragma once

/**
    Node module: the composition root of a router node.
*/

#include "node/composition/router_node.h"
