#pragma once

/**
    Routing module: finds the upstreams that may serve a request and ranks them by a policy.
*/

#include "routing/health/health_table.h"
#include "routing/load/load_reports.h"
#include "routing/policy/policies.h"
#include "routing/policy/upstream_choice.h"
#include "routing/prefix/prefix_table.h"
