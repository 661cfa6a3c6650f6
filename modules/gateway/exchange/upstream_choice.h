#pragma once

#include "gateway/exchange/gateway_context.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace samphireway::gateway {

/** What a request needs of an upstream. @see find_upstream */
struct upstream_search {
    const std::string& service_name;
    const std::set<std::string>& tried; ///< Upstreams that the request has been sent to.
    std::optional<std::uint64_t> prefix;
    std::uint64_t selector = 0;
    bool is_idempotent = false; ///< Such a request may try an upstream that failed before.
};

/** Returns the upstream that takes a request best by what this node knows, or null. @see choose_upstream */
std::shared_ptr<const upstream> find_upstream(gateway_context& context, const upstream_search& wanted,
                                              core::steady_time now);

} // namespace samphireway::gateway
