#include "routing/routing.h"

#include <criterion/criterion.h>

namespace {

using namespace samphireway;
using namespace std::chrono_literals;

const core::steady_time start{1h};

} // namespace

// Guards against requests to a failing upstream, and against an upstream that stays
// ejected after it recovered.
Test(routing, failing_upstream_is_ejected_and_tried_again)
{
    routing::health_table health({});
    health.record_failure("engine", false, start);
    health.record_failure("engine", false, start);
    cr_assert_eq(health.check("engine", start), routing::health_state::usable);
    health.record_failure("engine", false, start);
    cr_assert_eq(health.check("engine", start + 500ms), routing::health_state::ejected);
    cr_assert_eq(health.check("engine", start + 1s), routing::health_state::trial);
    cr_assert_eq(health.check("engine", start + 1s), routing::health_state::ejected);
    health.record_failure("engine", true, start + 1s);
    cr_assert_eq(health.check("engine", start + 2500ms), routing::health_state::ejected);
    cr_assert_eq(health.check("engine", start + 3s), routing::health_state::trial);
    health.record_success("engine");
    cr_assert_eq(health.check("engine", start + 3s), routing::health_state::usable);
}

// Guards against counting this node's own requests twice, and against using an outdated report.
Test(routing, reports_are_corrected_for_own_requests)
{
    routing::load_reports reports;
    reports.add("engine", 10, 4, start);
    cr_assert_eq(reports.estimate("engine", 4, start), 10);
    cr_assert_eq(reports.estimate("engine", 7, start + 1s), 13);
    cr_assert_eq(reports.estimate("engine", 7, start + 1min), 7);
}

// Guards against full confidence in a prefix whose removal may be among lost events, and against a late
// removal event that deletes a prefix which a newer request has stored again.
Test(routing, late_and_lost_cache_events_are_tolerated)
{
    routing::prefix_table prefixes;
    prefixes.apply("engine", {{.sequence = 1, .is_stored = true, .block = 7}}, start);
    prefixes.record_request("engine", 8, start + 9s);
    prefixes.apply("engine", {{.sequence = 2, .is_stored = false, .block = 8}}, start + 10s);
    cr_assert_eq(prefixes.confidence("engine", 8), 1.0);
    prefixes.apply("engine", {{.sequence = 5, .is_stored = true, .block = 9}}, start + 11s);
    cr_assert_eq(prefixes.confidence("engine", 7), 0.5);
    cr_assert_eq(prefixes.confidence("engine", 8), 1.0);
    prefixes.apply("engine", {{.sequence = 6, .is_stored = false, .block = 7}}, start + 12s);
    cr_assert_eq(prefixes.confidence("engine", 7), 0.0);
    cr_assert_eq(prefixes.last_sequence("engine"), 6);
}

// Guards against new requests to an upstream that is leaving or was tried before.
Test(routing, leaving_and_excluded_upstreams_are_no_candidates)
{
    auto list = std::make_shared<configuration::upstream_list>();
    for (const char* id : {"leaving", "tried", "good"}) {
        configuration::upstream upstream{.id = id};
        upstream.models = {{.model = "m", .version = "1"}};
        upstream.is_leaving = upstream.id == "leaving";
        list->upstreams[id] = upstream;
    }
    const auto access = std::make_shared<configuration::access_shard>(
        std::map<std::string, std::vector<configuration::access_entry>>{{"plan", {{.model = "m"}}}});
    const configuration::snapshot snapshot{.plan_shards = {}, .access_shards = {access}, .upstreams = list};
    const std::vector<routing::candidate> candidates =
        routing::list_candidates(snapshot, {.plan = "plan", .model = "m", .excluded = {"tried"}});
    cr_assert_eq(candidates.size(), 1);
    cr_assert_eq(candidates[0].upstream->id, "good");
}

// Guards against ranking an upstream without capacity before one that has capacity.
Test(routing, candidates_with_capacity_go_first)
{
    const configuration::upstream full{.id = "full"};
    const configuration::upstream free{.id = "free"};
    const std::vector<routing::upstream_choice> ranked = routing::rank_candidates(
        {{.upstream = &full, .has_capacity = false}, {.upstream = &free, .in_flight = 5}}, {},
        routing::least_in_flight);
    cr_assert_eq(ranked[0].upstream.id, "free");
    cr_assert_eq(ranked[1].upstream.id, "full");
}
