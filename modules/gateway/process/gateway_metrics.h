#pragma once

#include "gateway/exchange/counters.h"
#include "gateway/model/upstream.h"
#include "gateway/placement/brittle_upstreams.h"
#include "gateway/placement/upstream_limits.h"
#include "gateway/rollout/rollout_controller.h"
#include "routing/routing.h"

#include <cstdint>
#include <string>

namespace samphireway::gateway {

/** Returns a node's metrics in the Prometheus text exposition format. */
std::string write_metrics(const counters& counts, const upstream_table& known,
                          std::uint64_t opened_connections, const routing::health_table& health,
                          const rollout_controller& rollouts, const upstream_limits& limits,
                          const brittle_upstreams& brittle);

} // namespace samphireway::gateway
