#include "gateway/placement/load_tracker.h"
#include "gateway/placement/placement.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <map>
#include <set>

namespace {

using namespace samphireway;
using namespace std::chrono_literals;
using gateway::choose_upstream;
using gateway::placement_candidate;

std::vector<placement_candidate> engines(int count)
{
    std::vector<placement_candidate> result;
    for (int index = 0; index < count; ++index) {
        result.push_back({.id = "engine-" + std::to_string(index)});
    }
    return result;
}

} // namespace

// Guards against nodes that send the same prompt prefix to different engines, which then all process it.
Test(placement, nodes_agree_on_the_upstream_of_a_prefix)
{
    const std::vector<placement_candidate> one = engines(12);
    std::vector<placement_candidate> other = engines(12);
    std::reverse(other.begin(), other.end());
    std::set<std::string> used;
    for (std::uint64_t prefix = 0; prefix < 200; ++prefix) {
        const std::string chosen = one[*choose_upstream(one, {.prefix = prefix, .selector = 1})].id;
        cr_assert_eq(chosen, other[*choose_upstream(other, {.prefix = prefix, .selector = 2})].id);
        used.insert(chosen);
    }
    cr_assert_eq(used.size(), 12U);
}

// All requests have the same prefix. Guards against one engine that gets them all while the others are idle.
Test(placement, hot_prefix_spreads_over_upstreams)
{
    std::vector<placement_candidate> candidates = engines(6);
    for (int request = 0; request < 60; ++request) {
        ++candidates[*choose_upstream(candidates, {.prefix = 7})].in_flight;
    }
    const auto busiest =
        std::max_element(candidates.begin(), candidates.end(), [](const auto& left, const auto& right) {
            return left.in_flight < right.in_flight;
        });
    // The limit is a quarter above the mean of 10, rounded up, plus the slack of 2.
    cr_assert_leq(busiest->in_flight, 15);
}

// The request has no prefix. Guards against use of a failing or full upstream while a healthy one is left.
Test(placement, healthy_upstreams_are_preferred)
{
    std::vector<placement_candidate> candidates = engines(3);
    candidates[0].is_ejected = true;
    candidates[1].is_full = true;
    candidates[2].in_flight = 9;
    cr_assert_eq(*choose_upstream(candidates, {}), 2U);
    candidates.pop_back();
    cr_assert_eq(*choose_upstream(candidates, {}), 1U);
    candidates.pop_back();
    cr_assert_eq(*choose_upstream(candidates, {}), 0U);
    cr_assert_not(choose_upstream({}, {}).has_value());
}

// Guards against traffic between availability zones if an equally loaded upstream is in the own zone.
Test(placement, own_availability_zone_breaks_ties)
{
    std::vector<placement_candidate> candidates = engines(4);
    candidates[3].is_same_zone = true;
    for (std::uint64_t selector = 0; selector < 20; ++selector) {
        cr_assert_eq(*choose_upstream(candidates, {.selector = selector}), 3U);
    }
    candidates[3].in_flight = 1;
    cr_assert_neq(*choose_upstream(candidates, {.selector = 1}), 3U);
}

// Guards against an upstream that counts as full forever after one refusal.
Test(placement, full_state_expires)
{
    gateway::load_tracker loads;
    const core::steady_time start{1h};
    loads.begin("engine");
    loads.mark_full("engine", start);
    cr_assert_gt(loads.read("engine").full_until, start);
    cr_assert_lt(loads.read("engine").full_until, start + 1s);
    loads.end("engine");
    cr_assert_eq(loads.read("engine").in_flight, 0);
}

// Guards against upstreams at their limits that get requests.
Test(placement, upstream_at_its_limit_is_never_chosen)
{
    std::vector<placement_candidate> candidates = engines(2);
    for (placement_candidate& candidate : candidates) {
        candidate.has_limit = candidate.is_at_limit = true;
    }
    cr_assert_not(choose_upstream(candidates, {.selector = 1}).has_value());
    candidates[1].is_at_limit = false;
    cr_assert_eq(*choose_upstream(candidates, {.prefix = 5}), 1U);
    candidates[1].is_ejected = true;
    cr_assert_eq(*choose_upstream(candidates, {.prefix = 5}), 1U);
    candidates.push_back({.id = "free", .in_flight = 50});
    candidates[1] = {.id = "open", .has_limit = true, .is_at_limit = true};
    cr_assert_eq(*choose_upstream(candidates, {.prefix = 5, .shared_tokens = 5000}), 2U);
}

// Guards against short prompts that use up the limits of upstreams while long ones overload the others.
Test(placement, long_prompts_use_limited_upstreams_first)
{
    std::vector<placement_candidate> candidates = engines(4);
    candidates[0].has_limit = true;
    for (std::size_t index = 1; index < 4; ++index) {
        candidates[index].in_flight = 2;
    }
    cr_assert_eq(*choose_upstream(candidates, {.prefix = 1, .shared_tokens = 6000}), 0U);
    cr_assert_neq(*choose_upstream(candidates, {.prefix = 1, .shared_tokens = 200}), 0U);
    for (std::size_t index = 1; index < 4; ++index) {
        candidates[index].in_flight = 3;
    }
    cr_assert_eq(*choose_upstream(candidates, {.prefix = 1, .shared_tokens = 200}), 0U);
}

// Guards against an upstream with a limit that is used while one without is as idle.
Test(placement, upstream_with_a_limit_takes_over_from_busier_ones_only)
{
    std::vector<placement_candidate> candidates = engines(4);
    candidates[0].has_limit = true;
    for (std::uint64_t selector = 0; selector < 50; ++selector) {
        cr_assert_neq(*choose_upstream(candidates, {.selector = selector}), 0U);
    }
    for (std::size_t index = 1; index < 4; ++index) {
        candidates[index].in_flight = 2;
    }
    cr_assert_eq(*choose_upstream(candidates, {.selector = 1}), 0U);
    cr_assert_eq(*choose_upstream(candidates, {.prefix = 1, .shared_tokens = 1000}), 0U);
}
