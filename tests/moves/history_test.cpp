#include "support/move_fleet.h"
#include "support/move_history.h"

#include <criterion/criterion.h>

namespace {

using namespace samphireway;
using namespace std::chrono_literals;
using testing::move_event;

const core::wall_time start = core::from_unix_ms(1'700'000'000'000);

move_event record(std::chrono::seconds at, moves::move_state state, int step, std::uint64_t generation = 1)
{
    move_event event{.time = start + at};
    event.record.generation = generation;
    event.record.state = state;
    event.record.step = step;
    event.record.reason = "reason";
    if (state == moves::move_state::taken_back) {
        event.record.fault = moves::route_fault{.route = "w/p"};
    }
    return event;
}

move_event sent(std::chrono::seconds at)
{
    return {.kind = move_event::event_kind::sent_new, .time = start + at, .generation = 1};
}

std::string check(const std::vector<move_event>& history)
{
    return testing::find_violation(history, 2s);
}

} // namespace

// Guards against a history checker that does not detect violations.
Test(history, invalid_histories_are_rejected)
{
    using enum moves::move_state;
    cr_assert_eq(check({record(0s, canary, 0), record(9s, taken_back, 0), sent(12s)}),
                 "sent to a version that was taken back");
    cr_assert_eq(check({record(0s, taken_back, 1), record(9s, ramping, 2)}), "a final state was left");
    cr_assert_eq(check({record(0s, ramping, 3), record(9s, ramping, 2)}), "the ramp went back");
    cr_assert_eq(check({record(0s, canary, 0), record(9s, ramping, 3)}), "the ramp skipped a step");
    cr_assert_eq(check({record(0s, canary, 0, 2), record(9s, ramping, 1, 1)}),
                 "an earlier generation returned");
    move_event without_fault = record(9s, taken_back, 0);
    without_fault.record.fault.reset();
    cr_assert_eq(check({without_fault}), "taken back without evidence");
    move_event without_reason = record(9s, done, 5);
    without_reason.record.reason.clear();
    cr_assert_eq(check({without_reason}), "ended without a reason");
}

// Guards against controllers that violate an invariant of the record's history, with a failed driver,
// lost messages or a platform outage.
Test(history, histories_of_moves_are_valid)
{
    for (std::uint64_t seed = 0; seed < 8; ++seed) {
        const testing::move_scenario scenario{.seed = seed,
                                              .kind = seed % 2 == 0 ? testing::fault_kind::later
                                                                    : testing::fault_kind::none,
                                              .loses_messages = seed % 3 == 0,
                                              .crashes_driver = seed % 3 == 1,
                                              .has_platform_outage = seed % 3 == 2};
        std::vector<move_event> history;
        for (const moves::move_record& written : testing::move_fleet(scenario).run().history) {
            history.push_back({.record = written});
        }
        cr_assert(!history.empty());
        cr_assert(check(history).empty());
    }
}
