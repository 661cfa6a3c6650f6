#pragma once

#include "gateway/exchange/gateway_context.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace samphireway::gateway {

/** What a request asks for, and where the configuration sends it. @see resolve_request */
struct resolved_request {
    request_facts facts;
    std::uint64_t selector = 0;               ///< Hash of the attempt id.
    std::shared_ptr<const route_table> table; ///< Keeps what the pointers below refer to.
    const route* matched = nullptr;
    const workspace* customer = nullptr; ///< Null for a request without a known key.
    std::string service_name;
    std::int64_t tokens_per_event = 1;
    std::optional<std::uint64_t> prefix; ///< Hash of the prompt's parts that other requests share.
    core::steady_time deadline;          ///< The smaller of the requester's and the route's.
};

/**
    Finds a request's route, workspace and service.

    Fills in as much as it finds, so that a refusal can tell it. Fails with `invalid_argument`,
    `platform_unavailable` while no configuration is known, `not_found`, `unauthenticated`, and `draining`
   while this node refuses requests.
*/
core::result<void> resolve_request(resolved_request& found, const gateway_context& context,
                                   const request_message& request, core::steady_time arrival);

} // namespace samphireway::gateway
