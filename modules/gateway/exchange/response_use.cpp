#include "gateway/exchange/response_use.h"

#include "gateway/exchange/refusal.h"

namespace samphireway::gateway {

response_use classify_response(route_kind kind, const response_head& received, const response_facts& read,
                               bool has_begun_stream)
{
    const bool is_success = received.status / 100 == 2;
    if (read.is_not_run || read.is_wrong_upstream) {
        return response_use::not_run;
    }
    if (is_success && !read.is_signed) {
        return response_use::unusable;
    }
    if (is_success && kind == route_kind::stream) {
        return response_use::pass_stream;
    }
    // A status that promises "not run" must not be passed on from an upstream that has not promised it.
    if (promises_not_run(received.status) || (has_begun_stream && !is_success)) {
        return response_use::unusable;
    }
    return response_use::pass_whole;
}

} // namespace samphireway::gateway
