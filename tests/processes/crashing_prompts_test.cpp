#include "processes/crash_fleet.h"

#include <criterion/criterion.h>
#include <cstdio>
#include <cstdlib>

namespace {

using namespace samphireway::testing;

// Requests that may still reach upstreams when every node knows of the fifth crash.
constexpr int allowed_late_requests = 3;

void check(const char* name, crash_scenario scenario)
{
    const char* const seed = std::getenv("SAMPHIREWAY_TEST_SEED");
    scenario.seed = seed == nullptr ? scenario.seed : static_cast<unsigned>(std::atoi(seed));
    const crash_outcome outcome = play(scenario);
    std::printf("%s, seed %u: %s\n", name, scenario.seed, describe(outcome).c_str());
    cr_expect_leq(outcome.late, allowed_late_requests, "%s: %s", name, describe(outcome).c_str());
    cr_expect_eq(outcome.sound_refused, 0, "%s: %s", name, describe(outcome).c_str());
}

} // namespace

// Guards against a part that crashes upstreams before they write a head and is therefore sent on for ever.
Test(crashing_prompts, crash_before_the_head_of_a_stream, .timeout = 90)
{
    check("stream, before head", {.moment = crash_moment::before_head});
}

// Guards against a part that is taken for sound because its streams begin before they crash the upstream.
Test(crashing_prompts, crash_after_the_first_event, .timeout = 90)
{
    check("stream, after first event", {.moment = crash_moment::after_first_event});
}

// Guards against a part that is taken for sound because half of its answer arrives.
Test(crashing_prompts, crash_in_the_middle_of_a_stream, .timeout = 90)
{
    check("stream, in the middle", {.moment = crash_moment::in_the_middle});
}

// Guards against the loss of what worked: a crash between head and first event.
Test(crashing_prompts, crash_after_the_head_of_a_stream, .timeout = 90)
{
    check("stream, after head", {.moment = crash_moment::after_head});
}

// Guards against sound parts that are refused because whole answers clear nobody.
Test(crashing_prompts, whole_answers_clear_sound_parts, .timeout = 90)
{
    check("whole, before head", {.moment = crash_moment::before_head, .is_stream = false});
}

// Guards against the same when the upstream crashes within a whole answer.
Test(crashing_prompts, crash_in_the_middle_of_a_whole_answer, .timeout = 90)
{
    check("whole, in the middle", {.moment = crash_moment::in_the_middle, .is_stream = false});
}

// Guards against sound parts that are refused when upstreams are lost for other reasons.
Test(crashing_prompts, losses_of_upstreams_with_whole_answers, .timeout = 90)
{
    check("whole, losses", {.is_stream = false, .has_deadly_part = false});
}

// Guards against a crash that goes unnoticed since a supervisor restarts the upstream at once.
Test(crashing_prompts, upstream_is_back_at_once_on_its_port, .timeout = 90)
{
    check("stream, back at once", {.restart = crash_restart::at_once_same_port});
}

// Guards against a crash that goes unnoticed since the upstream comes back under another id.
Test(crashing_prompts, upstream_is_back_under_another_id, .timeout = 90)
{
    check("stream, renamed",
          {.moment = crash_moment::in_the_middle, .restart = crash_restart::renamed, .deadly_position = 0});
}

// Guards against a deadly part that is not accused because it stands last.
Test(crashing_prompts, deadly_part_stands_last, .timeout = 90)
{
    check("stream, last part", {.moment = crash_moment::after_head, .deadly_position = 3});
}
