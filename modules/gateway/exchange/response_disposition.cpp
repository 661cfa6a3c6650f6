#include "gateway/exchange/response_disposition.h"

#include "gateway/exchange/refusal.h"

namespace samphireway::gateway {

response_disposition classify_response(route_kind kind, const response_head& received,
                                       const response_facts& facts, bool has_begun_stream)
{
    const bool is_success = received.status / 100 == 2;
    if (facts.is_not_run || facts.is_wrong_upstream) {
        return response_disposition::not_run;
    }
    if (is_success && !facts.is_signed) {
        return response_disposition::unusable;
    }
    if (is_success && kind == route_kind::stream) {
        return response_disposition::forward_stream;
    }
    // Some statuses promise that the request has not run. They are forwarded only if the upstream itself has
    // promised it.
    if (promises_not_run(received.status) || (has_begun_stream && !is_success)) {
        return response_disposition::unusable;
    }
    return response_disposition::forward_whole;
}

} // namespace samphireway::gateway
