#include "node/moves/node_moves.h"

#include <criterion/criterion.h>

namespace {

using namespace samphireway;
using std::chrono::microseconds;

traffic::request_outcome successful_outcome()
{
    traffic::request_outcome outcome;
    outcome.workspace = "shop";
    outcome.model = "quotes";
    outcome.version = "v2";
    outcome.run = core::verdict::ran;
    outcome.first_token = microseconds(200000);
    outcome.total = microseconds(1200000);
    outcome.output_tokens = 11;
    return outcome;
}

} // namespace

// Guards against losing the latency of successful requests, which would leave a move without latency
// evidence.
Test(move_samples, successful_request_yields_latency)
{
    const std::vector<moves::sample> samples = node::samples_from_outcome(successful_outcome());
    cr_assert_eq(samples.size(), 1);
    cr_assert(!samples[0].is_error);
    cr_assert(samples[0].first_token == microseconds(200000));
    cr_assert(samples[0].mean_gap == microseconds(100000));
}

// Guards against rolling back a good version because its callers read slowly: a request whose stream was
// paused counts as a success, but its times are not used.
Test(move_samples, slow_reader_yields_no_latency)
{
    traffic::request_outcome outcome = successful_outcome();
    outcome.has_waited_for_reader = true;
    const std::vector<moves::sample> samples = node::samples_from_outcome(outcome);
    cr_assert_eq(samples.size(), 1);
    cr_assert(!samples[0].is_error);
    cr_assert(samples[0].mean_gap == moves::sample{}.mean_gap);
    cr_assert(samples[0].first_token == moves::sample{}.first_token);
}

// Guards against missing the errors of a bad version when the retries on the old version succeed.
Test(move_samples, failed_attempt_yields_error_sample_of_its_version)
{
    traffic::request_outcome outcome = successful_outcome();
    outcome.version = "v1";
    outcome.failed_attempts.push_back(
        {.upstream = "engine-2",
         .version = "v2",
         .failure = {.code = core::error_code::upstream_failed, .message = "cut"}});
    const std::vector<moves::sample> samples = node::samples_from_outcome(outcome);
    cr_assert_eq(samples.size(), 2);
    cr_assert_eq(samples[0].version, "v2");
    cr_assert(samples[0].is_error);
    cr_assert_eq(samples[1].version, "v1");
    cr_assert(!samples[1].is_error);
}
