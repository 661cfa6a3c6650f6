#include "moves/moves.h"

#include <criterion/criterion.h>

namespace {

using namespace samphireway;
using namespace std::chrono_literals;

const core::wall_time start = core::from_unix_ms(1'700'000'000'000);

configuration::move_entry one_hour_move()
{
    return {.id = "m",
            .model = "draft",
            .from_version = "v1",
            .to_version = "v2",
            .deadline = start + 1h,
            .generation = 1};
}

moves::observations ready(const moves::move_record& recorded)
{
    return {.recorded = recorded, .step_requests = 100000, .is_new_ready = true};
}

moves::move_record run(const configuration::move_entry& move, moves::move_record record,
                       core::wall_time until)
{
    for (core::wall_time now = start; now < until; now += 1s) {
        record = moves::decide(move, ready(record), now).next;
    }
    return record;
}

moves::route_fault some_fault()
{
    return {.route = "w/p", .found = {.signal = "errors", .new_version = {.faults = 30, .total = 60}}};
}

} // namespace

// Guards against a ramp that misses the deadline although there was enough time and traffic.
Test(decide, good_move_is_done_before_its_deadline)
{
    const moves::move_record record = run(one_hour_move(), {}, start + 1h);
    cr_assert_eq(record.state, moves::move_state::done);
    cr_assert(record.finished < start + 1h);
}

// Guards against a ramp that advances by time alone although the new version gets no requests.
Test(decide, move_without_traffic_stays_in_canary_and_is_late)
{
    moves::observations seen = ready({});
    seen.step_requests = 0;
    moves::decision made;
    for (core::wall_time now = start; now <= start + 1h; now += 1min) {
        made = moves::decide(one_hour_move(), seen, now);
        seen.recorded = made.next;
        cr_assert_leq(made.share("w/p"), moves::canary_share);
    }
    cr_assert_eq(made.state, moves::move_state::late);
    cr_assert(made.reason.starts_with("too little traffic"));
}

// Guards against traffic to a version after a confirmed fault, and against its return without
// an operator's new generation.
Test(decide, taken_back_is_final_for_the_generation)
{
    moves::move_record record = run(one_hour_move(), {}, start + 30min);
    moves::observations seen = ready(record);
    seen.fault = some_fault();
    const moves::decision made = moves::decide(one_hour_move(), seen, start + 30min);
    cr_assert_eq(made.state, moves::move_state::taken_back);
    cr_assert(made.reason.starts_with("errors on route w/p"));
    cr_assert_eq(made.share("w/p"), 0);
    cr_assert_eq(run(one_hour_move(), made.next, start + 2h).state, moves::move_state::taken_back);
    configuration::move_entry again = one_hour_move();
    again.generation = 2;
    cr_assert_eq(moves::decide(again, ready(made.next), start + 31min).state, moves::move_state::canary);
}

// Guards against skipped steps when the deadline is too near for a ramp, and against a
// late move without its reason.
Test(decide, move_with_near_deadline_is_late_with_its_reason)
{
    configuration::move_entry move = one_hour_move();
    move.deadline = start + 1min;
    const moves::decision made = moves::decide(move, ready(run(move, {}, start + 1min)), start + 1min);
    cr_assert_eq(made.state, moves::move_state::late);
    cr_assert(made.reason.starts_with("the hour is too near"));
    cr_assert_leq(made.next.step, 60s / moves::ramp_limits{}.minimum_step_time);
    move.deadline = start + 1h;
    cr_assert_neq(moves::decide(move, ready(made.next), start + 61s).state, moves::move_state::late);
}

// Guards against an abort that leaves traffic on the new version, and against one
// that undoes a finished move.
Test(decide, abort_stops_an_unfinished_move_only)
{
    configuration::move_entry move = one_hour_move();
    const moves::move_record half = run(move, {}, start + 30min);
    const moves::move_record done = run(move, {}, start + 1h);
    move.is_aborted = true;
    const moves::decision made = moves::decide(move, ready(half), start + 30min);
    cr_assert_eq(made.state, moves::move_state::aborted);
    cr_assert_eq(made.share("w/p"), 0);
    cr_assert_eq(moves::decide(move, ready(done), start + 2h).state, moves::move_state::done);
}

// Guards against two moves of one model whose canaries run at the same time and exceed the share in sum.
Test(decide, blocked_move_stays_pending)
{
    moves::observations seen = ready({});
    seen.blocking_reason = "another move of the model is in force";
    const moves::decision made = moves::decide(one_hour_move(), seen, start);
    cr_assert_eq(made.state, moves::move_state::pending);
    cr_assert_eq(made.share("w/p"), 0);
}

// Guards against a driver that resumes after a pause and overwrites a newer
// record with its outdated one.
Test(decide, merge_keeps_the_later_record)
{
    const configuration::move_entry move = one_hour_move();
    const moves::move_record early = run(move, {}, start + 2min);
    const moves::move_record later = run(move, {}, start + 40min);
    moves::observations seen = ready(early);
    seen.fault = some_fault();
    const moves::move_record bad = moves::decide(move, seen, start + 3min).next;
    moves::move_record next_generation = early;
    next_generation.generation = 2;
    const std::array records{moves::move_record{}, early, later, bad, next_generation};
    for (std::size_t left = 0; left < records.size(); ++left) {
        for (std::size_t right = 0; right < records.size(); ++right) {
            const moves::move_record merged = moves::merge(records.at(left), records.at(right));
            const moves::move_record& expected = records.at(std::max(left, right));
            cr_assert_eq(merged.state, expected.state);
            cr_assert_eq(merged.generation, expected.generation);
            cr_assert_eq(merged.step, expected.step);
        }
    }
    const auto restored = moves::move_record_from_json(moves::to_json(bad));
    cr_assert(restored && restored->fault && restored->fault->found.new_version.faults == 30);
}
