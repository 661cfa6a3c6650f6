#include "budget/budget.h"

#include <criterion/criterion.h>

namespace {

using namespace samphireway;
using namespace std::chrono_literals;
using escrow::amount;

constexpr amount limit = 1'000'000;
constexpr amount demand = 2'000; ///< Tokens a second at this node; nine others use as much.

/** Returns what one of ten equal holders draws when `unspent` of the limit is left and nobody holds any. */
amount drawn(amount unspent, bool is_tapered)
{
    const budget::draw_options options{.horizon = 10s,
                                       .end_phase = 1s,
                                       .tail = 1s,
                                       .minimum_draw = 1,
                                       .shared_sixteenths = 8,
                                       .tapers_with_rest = is_tapered};
    const budget::draw_input input{.demand_per_second = demand,
                                   .age = 100s,
                                   .available = unspent,
                                   .others_demand = 9 * demand,
                                   .holders = 10,
                                   .limit = limit};
    return budget::decide_draw(options, input).draw;
}

} // namespace

// Guards against holders that together take most of a nearly spent budget, which a loss of power would then
// cost.
Test(draw_policy, little_is_held_of_a_nearly_spent_budget)
{
    cr_assert_eq(drawn(600'000, true), demand * 10);
    cr_assert_eq(drawn(600'000, false), demand * 10);
    cr_assert_leq(10 * drawn(200'000, true), 40'000);
    cr_assert_gt(10 * drawn(200'000, false), 90'000);
    cr_assert_leq(10 * drawn(100'000, true), 5'000);
}

// Guards against a node that runs out within ten seconds without the object API while much of a budget is
// left.
Test(draw_policy, grants_cover_the_horizon_while_much_is_left)
{
    for (amount unspent = limit; unspent >= 450'000; unspent -= 50'000) {
        cr_assert_eq(drawn(unspent, true), demand * 10, "%ld left", static_cast<long>(unspent));
    }
}

// Guards against a write of the ledger for nearly every request before the demand is known, and against draws
// ahead that take what other holders need of a nearly spent budget.
Test(draw_policy, waiting_requests_draw_ahead_while_much_is_available)
{
    const budget::draw_options options{.drawn_ahead = 4, .minimum_draw = 1};
    budget::draw_input input{
        .waiting = 1'000, .smallest_waiting = 1'000, .available = limit, .holders = 10, .limit = limit};
    cr_assert_eq(budget::decide_draw(options, input).draw, 5'000);
    input.available = 41'000;
    cr_assert_eq(budget::decide_draw(options, input).draw, 2'000);
}
