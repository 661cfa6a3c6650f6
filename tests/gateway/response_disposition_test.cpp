#include "gateway/exchange/response_disposition.h"

#include <criterion/criterion.h>

namespace {

using namespace samphireway::gateway;

response_disposition classify(route_kind kind, unsigned status, const response_facts& facts,
                              bool has_begun = false)
{
    return classify_response(kind, response_head{.status = status}, facts, has_begun);
}

} // namespace

// Guards against forwarded successes without a signature, which may be damaged or come from another upstream.
Test(response_disposition, unsigned_successes_are_not_forwarded)
{
    cr_assert(classify(route_kind::safe, 200, {}) == response_disposition::unusable);
    cr_assert(classify(route_kind::stream, 200, {}) == response_disposition::unusable);
    cr_assert(classify(route_kind::safe, 200, {.is_signed = true}) == response_disposition::forward_whole);
    cr_assert(classify(route_kind::stream, 200, {.is_signed = true}) == response_disposition::forward_stream);
}

// Guards against a forwarded status that promises "not run" although the upstream has not promised it.
Test(response_disposition, only_promised_refusals_count_as_not_run)
{
    cr_assert(classify(route_kind::unsafe, 503, {.is_not_run = true}) == response_disposition::not_run);
    cr_assert(classify(route_kind::unsafe, 421, {.is_wrong_upstream = true}) ==
              response_disposition::not_run);
    cr_assert(classify(route_kind::unsafe, 503, {}) == response_disposition::unusable);
    cr_assert(classify(route_kind::unsafe, 429, {}) == response_disposition::unusable);
    cr_assert(classify(route_kind::unsafe, 500, {}) == response_disposition::forward_whole);
}

// Guards against an error response that is written into a stream whose first events are already sent.
Test(response_disposition, failures_do_not_follow_events)
{
    cr_assert(classify(route_kind::stream, 500, {}, true) == response_disposition::unusable);
    cr_assert(classify(route_kind::stream, 500, {}, false) == response_disposition::forward_whole);
}
