#include "gateway/exchange/response_use.h"

#include <criterion/criterion.h>

namespace {

using namespace samphireway::gateway;

response_use classify(route_kind kind, unsigned status, const response_facts& read, bool has_begun = false)
{
    return classify_response(kind, response_head{.status = status}, read, has_begun);
}

} // namespace

// Guards against successes without the upstream's signature, which may be another upstream's or damaged.
Test(response_use, unsigned_successes_are_not_passed_on)
{
    cr_assert(classify(route_kind::safe, 200, {}) == response_use::unusable);
    cr_assert(classify(route_kind::stream, 200, {}) == response_use::unusable);
    cr_assert(classify(route_kind::safe, 200, {.is_signed = true}) == response_use::pass_whole);
    cr_assert(classify(route_kind::stream, 200, {.is_signed = true}) == response_use::pass_stream);
}

// Guards against a refusal that promises "not run" although the upstream has not promised it.
Test(response_use, only_promised_refusals_count_as_not_run)
{
    cr_assert(classify(route_kind::unsafe, 503, {.is_not_run = true}) == response_use::not_run);
    cr_assert(classify(route_kind::unsafe, 421, {.is_wrong_upstream = true}) == response_use::not_run);
    cr_assert(classify(route_kind::unsafe, 503, {}) == response_use::unusable);
    cr_assert(classify(route_kind::unsafe, 429, {}) == response_use::unusable);
    cr_assert(classify(route_kind::unsafe, 500, {}) == response_use::pass_whole);
}

// Guards against a failure that is written into a stream which has begun.
Test(response_use, failures_do_not_follow_events)
{
    cr_assert(classify(route_kind::stream, 500, {}, true) == response_use::unusable);
    cr_assert(classify(route_kind::stream, 500, {}, false) == response_use::pass_whole);
}
