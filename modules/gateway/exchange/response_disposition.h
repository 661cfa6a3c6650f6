#pragma once

#include "gateway/model/configuration.h"
#include "gateway/model/header_dialect.h"
#include "gateway/model/messages.h"

namespace samphireway::gateway {

/** How an upstream's response is handled. @see classify_response */
enum class response_disposition {
    undecided,      ///< No response head has arrived yet.
    forward_whole,  ///< The response is buffered and sent to the requester when it is complete.
    forward_stream, ///< Each complete event is sent to the requester as it arrives.
    not_run,        ///< The upstream promises that the request has not run and never will.
    unusable        ///< The request may have run, and the response must not reach the requester.
};

/** Returns how to handle a response, by its head and the kind of its route. `has_begun_stream` says whether
 * events of an earlier attempt were already sent to the requester. */
response_disposition classify_response(route_kind kind, const response_head& received,
                                       const response_facts& facts, bool has_begun_stream);

} // namespace samphireway::gateway
