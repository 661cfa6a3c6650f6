#include "gateway/exchange/attempt_policy.h"

#include <criterion/criterion.h>
#include <set>

namespace {

using namespace samphireway;
using namespace std::chrono_literals;
using gateway::attempt_history;
using gateway::decide_retry;
using gateway::retry_decision;
using gateway::route;
using gateway::route_kind;

const core::steady_time start{1h};

attempt_history sent_once()
{
    return attempt_history{.sends = 1, .deadline = start + 4s};
}

} // namespace

// Guards against a second run of a request that may run only once.
Test(attempt_policy, unsafe_request_that_may_have_run_is_not_retried)
{
    const route order{.kind = route_kind::unsafe, .maximum_attempts = 3};
    attempt_history history = sent_once();
    cr_assert_eq(decide_retry(order, history, start), retry_decision::needs_budget);
    history.may_have_run = true;
    cr_assert_eq(decide_retry(order, history, start), retry_decision::forbidden);
    const route stream{.kind = route_kind::stream, .maximum_attempts = 3};
    cr_assert_eq(decide_retry(stream, history, start), retry_decision::forbidden);
}

// Guards against a stream that another upstream continues although its route does not allow resuming.
Test(attempt_policy, only_resumable_streams_are_resumed)
{
    attempt_history history = sent_once();
    history.has_begun_stream = true;
    history.may_have_run = true;
    const route plain{.kind = route_kind::stream, .maximum_attempts = 2};
    const route resumable{.kind = route_kind::stream, .maximum_attempts = 2, .can_resume = true};
    cr_assert_eq(decide_retry(plain, history, start), retry_decision::forbidden);
    cr_assert_eq(decide_retry(resumable, history, start), retry_decision::needs_budget);
}

// Guards against more upstreams per request than its route allows, and against unlimited attempts.
Test(attempt_policy, attempts_are_bounded)
{
    const route lookup{.kind = route_kind::safe, .maximum_attempts = 2};
    attempt_history history = sent_once();
    history.sends = 2;
    cr_assert_eq(decide_retry(lookup, history, start), retry_decision::forbidden);
    history = {.failed_connects = 1, .deadline = start + 4s};
    cr_assert_eq(decide_retry(lookup, history, start), retry_decision::allowed);
    history.failed_connects = 10;
    cr_assert_eq(decide_retry(lookup, history, start), retry_decision::forbidden);
    history = sent_once();
    cr_assert_eq(decide_retry(lookup, history, start + 4s), retry_decision::forbidden);
}

// Guards against Retry-After advice that requesters ignore because it is too long, or that makes them all
// return at the same time.
Test(attempt_policy, advice_is_spread_within_a_third_of_the_time_left)
{
    std::set<std::int64_t> advised;
    for (std::uint64_t selector = 0; selector < 64; ++selector) {
        const auto advice = gateway::retry_after(300ms, 4s, selector);
        cr_assert_geq(advice, 300ms);
        cr_assert_lt(advice, 600ms);
        advised.insert(advice.count());
        cr_assert_leq(gateway::retry_after(4s, 900ms, selector), 300ms);
    }
    cr_assert_gt(advised.size(), 32U);
}
