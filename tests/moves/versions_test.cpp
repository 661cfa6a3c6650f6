#include "moves/moves.h"
#include "routing/routing.h"

#include <criterion/criterion.h>
#include <random>

namespace {

using namespace samphireway;
using namespace std::chrono_literals;

const core::wall_time start = core::from_unix_ms(1'700'000'000'000);

moves::recorded_move move_in(const std::string& id, moves::move_state state, const std::string& from,
                             const std::string& to)
{
    moves::recorded_move move{
        .entry = {.id = id, .model = "m", .from_version = from, .to_version = to, .deadline = start + 1h}};
    move.record.generation = 1;
    move.record.from_version = from;
    move.record.to_version = to;
    move.record.state = state;
    if (state != moves::move_state::pending) {
        move.record.begun = start;
    }
    if (move.record.is_final()) {
        move.record.finished = start + 1min;
    }
    return move;
}

configuration::snapshot serving(const std::vector<std::string>& versions)
{
    auto list = std::make_shared<configuration::upstream_list>();
    for (const std::string& version : versions) {
        list->upstreams[version] = {.id = version, .models = {{.model = "m", .version = version}}};
    }
    configuration::snapshot snapshot;
    snapshot.upstreams = list;
    return snapshot;
}

} // namespace

// Guards against traffic to a version whose move is pending, blocked or taken
// back, or that no move names.
Test(versions, only_versions_in_force_are_chosen)
{
    using enum moves::move_state;
    const configuration::snapshot both = serving({"1", "2"});
    const auto stable = [&](moves::move_state state) {
        return moves::resolve_versions({move_in("a", state, "1", "2")}, both);
    };
    cr_assert_eq(stable(pending).stable_version, "1");
    cr_assert(stable(pending).new_version.empty() && stable(pending).fallback_version.empty());
    cr_assert_eq(stable(canary).new_version, "2");
    cr_assert_eq(stable(taken_back).stable_version, "1");
    cr_assert(stable(taken_back).fallback_version.empty());
    cr_assert_eq(stable(done).stable_version, "2");
    const std::vector<moves::recorded_move> chain{move_in("a", done, "1", "2"),
                                                  move_in("b", pending, "2", "3")};
    cr_assert_eq(moves::resolve_versions(chain, both).stable_version, "2");
    cr_assert(moves::find_blocking_reason(chain[1], chain).empty());
    const std::vector<moves::recorded_move> wrong{chain[0], move_in("b", pending, "1", "3")};
    cr_assert_not(moves::find_blocking_reason(wrong[1], wrong).empty());
    cr_assert_eq(moves::resolve_versions({move_in("a", pending, "1", "2")}, serving({"2"})).fallback_version,
                 "2");
}

// Guards against a canary that exceeds its bound by chance on a route with little traffic, and against
// retries that go to the canary.
Test(versions, canary_is_bounded_by_counts)
{
    moves::version_router router;
    auto table = std::make_shared<moves::share_table>();
    (*table)["m"] = {.move = "a",
                     .generation = 1,
                     .stable_version = "1",
                     .new_version = "2",
                     .uncleared_share = moves::canary_share};
    router.publish(table);
    int sent = 0;
    for (int request = 1; request <= 10000; ++request) {
        const auto versions = router.choose({.workspace = "w", .plan = "p", .model = "m"}, 0.0);
        sent += versions.front() == "2" ? 1 : 0;
        cr_assert(request < 59 || sent <= 0.02 * request);
    }
    cr_assert_gt(sent, 100);
    const auto retry = router.choose({.workspace = "w", .plan = "p", .model = "m", .is_retry = true}, 0.0);
    cr_assert_eq(retry.front(), "1");
    cr_assert(router.choose({.workspace = "w", .plan = "p", .model = "other"}, 0.0).empty());
}

// Guards against serving a request from a version that is not in its list of preferred versions.
Test(versions, candidates_of_other_versions_are_dropped)
{
    std::vector<routing::candidate> candidates{{.version = "1"}, {.version = "2"}, {.version = "3"}};
    routing::keep_preferred_version(candidates, {"2", "1"});
    cr_assert_eq(candidates.size(), 1);
    cr_assert_eq(candidates.front().version, "2");
    routing::keep_preferred_version(candidates, {"4"});
    cr_assert(candidates.empty());
}

// Guards against an edit that changes a move without raising its generation, which could restart a move
// that was taken back, and against accepting a malformed move.
Test(versions, edits_are_validated)
{
    const configuration::move_entry move = move_in("a", moves::move_state::pending, "1", "2").entry;
    Json::Value json = configuration::to_json(move);
    cr_assert_eq(*configuration::move_from_json("a", json), move);
    configuration::move_entry other = move;
    other.to_version = "3";
    cr_assert_not(configuration::check_move_edit(move, other).has_value());
    other.generation = 2;
    cr_assert(configuration::check_move_edit(move, other).has_value());
    cr_assert_not(configuration::check_move_edit(other, move).has_value());
    json["to_version"] = "1";
    cr_assert_not(configuration::move_from_json("a", json).has_value());
    json["to_version"] = "2";
    json["surprise"] = 1;
    cr_assert_not(configuration::move_from_json("a", json).has_value());
}
