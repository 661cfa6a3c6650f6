#pragma once

#include "core/core.h"
#include "gateway/model/messages.h"

#include <functional>

namespace samphireway::gateway {

/**
    How requesters and upstreams name things in headers.

    @see exchange
*/
struct header_dialect {
    /** Reads a requester's headers. Fails with `invalid_argument` on fields missing, repeated or malformed.
     */
    std::function<core::result<request_facts>(const header_list& headers)> read_request;

    /** Removes what only the gateway may set and what concerns only the requester, then adds the facts. */
    std::function<void(header_list& headers, const forwarding_facts& facts)> write_request;

    /** Reads an upstream's response. */
    std::function<response_facts(const response_head& head)> read_response;
};

} // namespace samphireway::gateway
