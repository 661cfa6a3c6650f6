#include "budget/budget.h"

#include <criterion/criterion.h>

namespace {

using namespace samphireway;
using namespace std::chrono_literals;
using escrow::amount;

constexpr amount limit = 1'000'000;
constexpr amount demand = 2'000; ///< Tokens per second at each of ten nodes.

/**
    Returns the draw of one of ten equal holders when `unspent` of the limit is left and no grant is
    outstanding.
*/
amount drawn(amount unspent, bool is_tapered)
{
    const budget::draw_options options{.horizon = 10s,
                                       .low_phase_threshold = 1s,
                                       .nearly_exhausted_threshold = 1s,
                                       .minimum_draw = 1,
                                       .shared_sixteenths = 8,
                                       .tapers_with_unspent = is_tapered};
    const budget::draw_input input{.demand_per_second = demand,
                                   .time_in_use = 100s,
                                   .available = unspent,
                                   .others_demand = 9 * demand,
                                   .holder_count = 10,
                                   .limit = limit};
    return budget::decide_draw(options, input).draw;
}

} // namespace

// Guards against holders that together hold most of a nearly spent budget, which a power failure would
// then lose.
Test(draw_policy, holders_keep_little_of_a_nearly_spent_budget)
{
    cr_assert_eq(drawn(600'000, true), demand * 10);
    cr_assert_eq(drawn(600'000, false), demand * 10);
    cr_assert_leq(10 * drawn(200'000, true), 40'000);
    cr_assert_gt(10 * drawn(200'000, false), 90'000);
    cr_assert_leq(10 * drawn(100'000, true), 5'000);
}

// Guards against a node whose grant is used up within ten seconds of an outage of the object API while
// much of the budget is left.
Test(draw_policy, grants_cover_the_horizon_while_much_is_left)
{
    for (amount unspent = limit; unspent >= 450'000; unspent -= 50'000) {
        cr_assert_eq(drawn(unspent, true), demand * 10, "%ld left", static_cast<long>(unspent));
    }
}

// Guards against one ledger write for nearly every request before the demand is known, and against
// draws in advance that take too much of a nearly spent budget from other holders.
Test(draw_policy, waiting_requests_draw_in_advance_while_much_is_available)
{
    const budget::draw_options options{.draw_ahead_factor = 4, .minimum_draw = 1};
    budget::draw_input input{.waiting_total = 1'000,
                             .smallest_waiting_request = 1'000,
                             .available = limit,
                             .holder_count = 10,
                             .limit = limit};
    cr_assert_eq(budget::decide_draw(options, input).draw, 5'000);
    input.available = 41'000;
    cr_assert_eq(budget::decide_draw(options, input).draw, 2'000);
}
