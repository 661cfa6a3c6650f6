#pragma once

#include "core/core.h"
#include "gateway/model/messages.h"

#include <functional>

namespace samphireway::gateway {

/**
    Functions that read and write the platform's headers.

    @see exchange
*/
struct header_dialect {
    /** Reads a requester's headers. Fails with `invalid_argument` if a field is missing, repeated or
     * malformed. */
    std::function<core::result<request_facts>(const header_list& headers)> read_request;

    /** Removes the fields that only the gateway may set and those meant only for the gateway, then adds
     * fields for `facts`. */
    std::function<void(header_list& headers, const forwarding_facts& facts)> write_request;

    /** Reads the headers of an upstream's response. */
    std::function<response_facts(const response_head& head)> read_response;
};

} // namespace samphireway::gateway
