#include "gateway/rollout/rollout_fleet.h"

#include <criterion/criterion.h>

namespace {

using namespace samphireway;
using namespace std::chrono_literals;
using gateway::rollout_state;
using testing::rollout_fleet;
using testing::version_behaviour;

constexpr unsigned seeds = 20;

/** A service with few requests, of which one route fails often by itself. */
rollout_fleet few_requests(const version_behaviour& target, unsigned seed)
{
    return rollout_fleet({.upstreams = 3,
                          .requests_per_second = 50,
                          .target = target,
                          .stable_fault_share = 0.004,
                          .replies_fault_share = 0.14,
                          .seed = seed});
}

void expect_taken_back(const version_behaviour& target)
{
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        rollout_fleet fleet = few_requests(target, seed);
        fleet.run_until(15s);
        cr_expect_eq(fleet.stored, rollout_state::rolled_back, "seed %u", seed);
        cr_expect_leq(fleet.target_requests, fleet.all_requests / 10 + 50, "seed %u: %d of %d", seed,
                      fleet.target_requests, fleet.all_requests);
        cr_expect_eq(fleet.late_requests, 0, "seed %u", seed);
    }
}

} // namespace

// Guards against a version that is completed because the few failures among its answers prove nothing.
Test(rollout_evidence, version_that_fails_in_a_small_part_is_taken_back)
{
    expect_taken_back({.fault_share = 0.15, .faulty_from = 5000ms});
}

// Guards against a version that is completed because few of its slow answers have been seen.
Test(rollout_evidence, slow_version_of_a_quiet_service_is_taken_back)
{
    expect_taken_back({.fault_share = 0.5, .slow_factor = 4, .faulty_from = 3000ms});
}

// Guards against good versions that are taken back by a judge that needs little evidence.
Test(rollout_evidence, good_version_of_a_quiet_service_is_completed)
{
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        rollout_fleet fleet = few_requests({}, seed);
        fleet.run_until(15s);
        cr_expect_eq(fleet.stored, rollout_state::completed, "seed %u", seed);
    }
}
