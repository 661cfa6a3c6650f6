#include "bench/bench.h"
#include "bench/measure/percentiles.h"

#include <criterion/criterion.h>

using namespace samphireway;

// Guards against sending load to another machine.
Test(bench_options, only_loopback_addresses_are_accepted)
{
    cr_assert(bench::parse_endpoints("127.0.0.1:80,127.1.2.3:81").has_value());
    for (const char* const refused :
         {"10.0.0.1:80", "128.0.0.1:80", "localhost:80", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:x"}) {
        cr_assert_not(bench::parse_endpoints(refused).has_value(), "%s", refused);
    }
}

// Guards against runs that the same seed doesn't repeat, and against a wrong request rate or mix.
Test(bench_load, same_seed_gives_same_load_at_the_requested_rate)
{
    bench::load_options options;
    options.requests_per_second = 1000;
    options.mix = *bench::parse_mix("short=3,stream=1");
    const std::vector<bench::planned_request> planned = bench::plan_requests(options);
    const std::vector<bench::planned_request> again = bench::plan_requests(options);
    cr_assert_eq(planned.size(), again.size());
    // 1,000 requests/s for 10 s: 10,000 expected with a standard deviation of 100.
    cr_assert(planned.size() > 9500 && planned.size() < 10500);
    std::size_t streams = 0;
    for (std::size_t index = 0; index < planned.size(); ++index) {
        cr_assert_eq(planned[index].offset.count(), again[index].offset.count());
        streams += planned[index].kind == bench::request_kind::stream ? 1 : 0;
    }
    cr_assert(streams > planned.size() / 5 && streams < planned.size() * 3 / 10);
}

// Guards against missing a false refusal, and against counting a justified refusal as false.
Test(bench_budget, refusal_is_false_only_when_the_plan_covers_requests_in_flight)
{
    bench::budget_tracker budgets({{"plan", 100}});
    budgets.start_request("plan", 60);
    cr_assert(budgets.can_cover("plan", 40));
    cr_assert_not(budgets.can_cover("plan", 41));
    budgets.finish_request("plan", 60, 10);
    cr_assert(budgets.can_cover("plan", 90));
    cr_assert_not(budgets.can_cover("unknown", 1));
}

// Guards against percentiles that are rounded down and so hide the slowest requests.
Test(bench_percentiles, nearest_rank)
{
    std::vector<std::chrono::microseconds> samples;
    for (int value = 100; value >= 1; --value) {
        samples.emplace_back(value);
    }
    cr_assert_eq(bench::percentile(samples, 0.5).count(), 50);
    cr_assert_eq(bench::percentile(samples, 0.99).count(), 99);
    cr_assert_eq(bench::percentile(samples, 1).count(), 100);
    cr_assert_eq(bench::percentile({}, 0.5).count(), 0);
}
