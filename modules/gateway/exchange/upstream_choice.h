#pragma once

#include "gateway/exchange/gateway_context.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace samphireway::gateway {

/** Properties of a request that decide which upstream it gets. @see find_upstream */
struct upstream_search {
    const std::string& service_name;
    const std::set<std::string>& tried;  ///< Ids of upstreams that were already tried for the request.
    std::optional<std::uint64_t> prefix; ///< Hash of the prompt's shared parts; empty if there are none.
    std::int64_t shared_tokens = 0;      ///< Tokens of those parts.
    std::uint64_t selector = 0;          ///< Hash of the request; breaks ties between equal upstreams.
    bool is_idempotent = false;          ///< Whether the request may be a trial for an ejected upstream.
    const std::optional<version_choice>& versions; ///< Empty if all versions are alike.
};

/** Returns the best upstream for a request by this node's view of health and load, or null if none is left.
 * @see choose_upstream */
std::shared_ptr<const upstream> find_upstream(gateway_context& context, const upstream_search& search,
                                              core::steady_time now);

/** Returns when the first upstream of a service that asked for a pause, whose limit is used up, or that is
 * brittle and has no seat left, takes requests of this node again; empty if there is none. */
std::optional<core::steady_time> find_next_capacity(const gateway_context& context,
                                                    const std::string& service_name, core::steady_time now);

} // namespace samphireway::gateway
