#include "budget/policy/draw_policy.h"

#include <algorithm>

namespace samphireway::budget {

namespace {

using escrow::amount;

constexpr int sixteenths = 16;

// Fractions of the limit. Above the first a loss of all holders leaves enough for the rest; below the second
// even a small loss is felt at the plan's end.
constexpr double taper_start = 0.4;
constexpr double taper_end = 0.1;
constexpr double smallest_taper = 0.05;

amount unspent(const draw_input& input)
{
    return std::max<amount>(0, input.available) + input.outstanding;
}

amount share_of(const draw_options& options, const draw_input& input)
{
    amount shared = unspent(input) * options.shared_sixteenths / sixteenths;
    if (options.tapers_with_rest && input.limit > 0) {
        const double left = static_cast<double>(unspent(input)) / static_cast<double>(input.limit);
        const double part = (left - taper_end) / (taper_start - taper_end);
        shared = static_cast<amount>(static_cast<double>(shared) * std::clamp(part, smallest_taper, 1.0));
    }
    const amount all_demand = input.demand_per_second + input.others_demand;
    if (input.demand_per_second == 0 || all_demand == 0) {
        return shared / static_cast<amount>(2 * std::max<std::size_t>(1, input.holders));
    }
    const double fraction = static_cast<double>(input.demand_per_second) / static_cast<double>(all_demand);
    return static_cast<amount>(static_cast<double>(shared) * fraction);
}

amount target_of(const draw_options& options, const draw_input& input)
{
    const amount share = share_of(options, input);
    const std::chrono::seconds horizon = std::min(options.horizon, input.age * options.horizon_growth);
    switch (phase_of(options, input)) {
    case plan_phase::tail:
        return 0;
    case plan_phase::end:
        return std::min(share, input.demand_per_second * options.end_piece.count());
    case plan_phase::normal:
        break;
    }
    return std::min(share, std::max(options.minimum_draw, input.demand_per_second * horizon.count()));
}

/** Parts into which what is available is divided for draws ahead: each holder's is small. */
amount parts_for_draws_ahead(const draw_input& input)
{
    constexpr amount parts_per_holder = 4;
    return parts_per_holder * static_cast<amount>(std::max<std::size_t>(1, input.holders));
}

draw_decision decide_waiting(const draw_options& options, const draw_input& input)
{
    const amount available = std::max<amount>(0, input.available);
    const amount lack = std::max<amount>(1, input.waiting - input.free);
    if (phase_of(options, input) == plan_phase::tail) {
        if (available >= input.smallest_waiting - input.free) {
            return draw_decision{.draw = lack, .is_urgent = true};
        }
        return draw_decision{.give_back = input.free, .is_urgent = true};
    }
    if (available < lack) {
        return draw_decision{.draw = available, .wanted = lack, .is_urgent = true};
    }
    // The part beyond the waiting requests leaves at least half of the rest to others.
    const amount beyond = std::min(target_of(options, input) - input.free - lack, (available - lack) / 2);
    // Requests that wait show more of the same to come before the demand is known.
    const amount ahead =
        std::min(options.drawn_ahead * lack, (available - lack) / parts_for_draws_ahead(input));
    return draw_decision{.draw = lack + std::max<amount>({0, beyond, ahead}), .is_urgent = true};
}

} // namespace

plan_phase phase_of(const draw_options& options, const draw_input& input)
{
    const amount all_demand = input.demand_per_second + input.others_demand;
    const amount smallest_useful = options.minimum_draw * static_cast<amount>(input.holders);
    const amount left = unspent(input);
    if (left < std::max(all_demand * options.tail.count(), smallest_useful)) {
        return plan_phase::tail;
    }
    return left < std::max(all_demand * options.end_phase.count(), 2 * smallest_useful) ? plan_phase::end
                                                                                        : plan_phase::normal;
}

bool is_scarce(const draw_options& options, const draw_input& input)
{
    const amount all_demand = input.demand_per_second + input.others_demand;
    return input.others_wanted > 0 ||
           input.available < std::max(all_demand * options.end_piece.count(), 2 * options.minimum_draw);
}

draw_decision decide_draw(const draw_options& options, const draw_input& input)
{
    if (input.waiting > 0) {
        return decide_waiting(options, input);
    }
    const amount available = std::max<amount>(0, input.available);
    const amount target = target_of(options, input);
    const amount needed = input.others_wanted + input.pending_reduction - available;
    if (needed > 0 && input.free > 0) {
        const bool is_most_needed = 2 * input.others_wanted > unspent(input);
        const bool keeps_none = input.pending_reduction > 0 || input.is_idle || is_most_needed;
        const amount kept =
            keeps_none ? 0 : std::min(target, input.demand_per_second * options.kept_for_own_use.count());
        const amount given = std::min(std::max<amount>(0, input.free - kept), needed);
        return draw_decision{.give_back = given, .is_urgent = given > 0};
    }
    if (input.is_idle) {
        return draw_decision{.give_back = input.free};
    }
    if (input.free > target * 2) {
        return draw_decision{.give_back = input.free - target};
    }
    const amount drawn = std::min(target - input.free, available / 2);
    // Draws ride along with settlements, so a full grant costs no further calls; it must last through a
    // partition.
    const bool is_normal = phase_of(options, input) == plan_phase::normal;
    const amount refill_below = is_normal ? target - target / 8 : target / 2;
    if (needed <= 0 && input.free < refill_below && drawn > target / 16) {
        const bool is_low = input.free < input.demand_per_second;
        return draw_decision{.draw = drawn, .is_urgent = is_low};
    }
    return {};
}

} // namespace samphireway::budget
