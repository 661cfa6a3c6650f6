#pragma once

#include "gateway/exchange/gateway_context.h"
#include "gateway/quarantine/crash_report.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace samphireway::gateway {

/** A request's headers as read, with the route, workspace and service found for it. @see resolve_request */
struct resolved_request {
    request_facts facts;
    std::uint64_t selector = 0;               ///< Hash of the attempt id; spreads requests over services.
    std::shared_ptr<const route_table> table; ///< Owner of `matched_route` and `customer`.
    const route* matched_route = nullptr;     ///< Null if no route matches.
    const workspace* customer = nullptr;      ///< Null if the request has no known key.
    std::string service_name;
    std::int64_t tokens_per_event = 1;   ///< Output tokens that one event of a stream is charged as.
    std::optional<std::uint64_t> prefix; ///< Hash of the prompt's shared parts; empty if there are none.
    std::int64_t shared_tokens = 0;      ///< Tokens of those parts.
    prompt_parts prompt_part_ids;        ///< Ids of all parts of the prompt, in their order.
    core::steady_time deadline;          ///< Earlier one of the requester's and the route's deadlines.
};

/**
    Finds a request's route, workspace and service.

    Fills in `found` as far as possible also on failure, so that the refusal can be logged with it.
    Fails with `invalid_argument` for malformed headers, `platform_unavailable` before the first
    configuration, `not_found` without a matching route, `unauthenticated` without a known key, and
    `draining` while this node refuses requests.
*/
core::result<void> resolve_request(resolved_request& found, const gateway_context& context,
                                   const request_message& request, core::steady_time arrival);

} // namespace samphireway::gateway
