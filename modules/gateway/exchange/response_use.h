#pragma once

#include "gateway/model/configuration.h"
#include "gateway/model/header_dialect.h"
#include "gateway/model/messages.h"

namespace samphireway::gateway {

/** What becomes of an upstream's response. @see classify_response */
enum class response_use {
    undecided,
    pass_whole,
    pass_stream,
    not_run, ///< The upstream promises that it has not run the request.
    unusable ///< The request may have run, and the response must not reach the requester.
};

/** Decides by the head of a response to a request of a kind; `has_begun_stream` tells whether events of an
 * earlier upstream have gone out. */
response_use classify_response(route_kind kind, const response_head& received, const response_facts& read,
                               bool has_begun_stream);

} // namespace samphireway::gateway
