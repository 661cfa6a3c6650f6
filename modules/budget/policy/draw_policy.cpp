#include "budget/policy/draw_policy.h"

#include <algorithm>

namespace samphireway::budget {

namespace {

using escrow::amount;

constexpr int sixteenths = 16;

// Unspent fractions of the limit between which the shared part shrinks. Above the first, enough
// remains after a loss of all holders; below the second, even a small loss takes a noticeable part of
// what is left.
constexpr double taper_start_fraction = 0.4;
constexpr double taper_end_fraction = 0.1;
constexpr double minimum_taper = 0.05;

amount unspent(const draw_input& input)
{
    return std::max<amount>(0, input.available) + input.outstanding;
}

amount share_of(const draw_options& options, const draw_input& input)
{
    amount shared = unspent(input) * options.shared_sixteenths / sixteenths;
    if (options.tapers_with_unspent && input.limit > 0) {
        const double unspent_fraction =
            static_cast<double>(unspent(input)) / static_cast<double>(input.limit);
        const double taper =
            (unspent_fraction - taper_end_fraction) / (taper_start_fraction - taper_end_fraction);
        shared = static_cast<amount>(static_cast<double>(shared) * std::clamp(taper, minimum_taper, 1.0));
    }
    const amount all_demand = input.demand_per_second + input.others_demand;
    if (input.demand_per_second == 0 || all_demand == 0) {
        return shared / static_cast<amount>(2 * std::max<std::size_t>(1, input.holder_count));
    }
    const double fraction = static_cast<double>(input.demand_per_second) / static_cast<double>(all_demand);
    return static_cast<amount>(static_cast<double>(shared) * fraction);
}

amount target_of(const draw_options& options, const draw_input& input)
{
    const amount share = share_of(options, input);
    const std::chrono::seconds horizon =
        std::min(options.horizon, input.time_in_use * options.horizon_growth_factor);
    switch (phase_of(options, input)) {
    case plan_phase::nearly_exhausted:
        return 0;
    case plan_phase::low:
        return std::min(share, input.demand_per_second * options.low_phase_grant.count());
    case plan_phase::normal:
        break;
    }
    return std::min(share, std::max(options.minimum_draw, input.demand_per_second * horizon.count()));
}

/**
    Returns the number of parts into which the available amount is divided. A draw in advance takes at
    most one part. The number grows with that of the holders, so that enough is left for the others.
*/
amount parts_for_advance_draws(const draw_input& input)
{
    constexpr amount parts_per_holder = 4;
    return parts_per_holder * static_cast<amount>(std::max<std::size_t>(1, input.holder_count));
}

draw_decision decide_waiting(const draw_options& options, const draw_input& input)
{
    const amount available = std::max<amount>(0, input.available);
    const amount shortage = std::max<amount>(1, input.waiting_total - input.free);
    if (phase_of(options, input) == plan_phase::nearly_exhausted) {
        if (available >= input.smallest_waiting_request - input.free) {
            return draw_decision{.draw = shortage, .is_urgent = true};
        }
        return draw_decision{.give_back = input.free, .is_urgent = true};
    }
    if (available < shortage) {
        return draw_decision{.draw = available, .wanted = shortage, .is_urgent = true};
    }
    // The extra amount beyond the waiting requests leaves at least half of the remainder to other
    // holders.
    const amount extra =
        std::min(target_of(options, input) - input.free - shortage, (available - shortage) / 2);
    // Until the demand is known, waiting requests are the only sign that more requests will follow.
    const amount in_advance = std::min(options.draw_ahead_factor * shortage,
                                       (available - shortage) / parts_for_advance_draws(input));
    return draw_decision{.draw = shortage + std::max<amount>({0, extra, in_advance}), .is_urgent = true};
}

} // namespace

plan_phase phase_of(const draw_options& options, const draw_input& input)
{
    const amount all_demand = input.demand_per_second + input.others_demand;
    const amount minimum_useful = options.minimum_draw * static_cast<amount>(input.holder_count);
    const amount remaining = unspent(input);
    if (remaining < std::max(all_demand * options.nearly_exhausted_threshold.count(), minimum_useful)) {
        return plan_phase::nearly_exhausted;
    }
    return remaining < std::max(all_demand * options.low_phase_threshold.count(), 2 * minimum_useful)
               ? plan_phase::low
               : plan_phase::normal;
}

bool is_scarce(const draw_options& options, const draw_input& input)
{
    const amount all_demand = input.demand_per_second + input.others_demand;
    return input.others_wanted > 0 ||
           input.available < std::max(all_demand * options.low_phase_grant.count(), 2 * options.minimum_draw);
}

draw_decision decide_draw(const draw_options& options, const draw_input& input)
{
    if (input.waiting_total > 0) {
        return decide_waiting(options, input);
    }
    const amount available = std::max<amount>(0, input.available);
    const amount target = target_of(options, input);
    const amount missing_elsewhere = input.others_wanted + input.pending_reduction - available;
    if (missing_elsewhere > 0 && input.free > 0) {
        const bool is_most_wanted_elsewhere = 2 * input.others_wanted > unspent(input);
        const bool returns_all = input.pending_reduction > 0 || input.is_idle || is_most_wanted_elsewhere;
        const amount kept =
            returns_all ? 0
                        : std::min(target, input.demand_per_second * options.retained_in_shortage.count());
        const amount returned = std::min(std::max<amount>(0, input.free - kept), missing_elsewhere);
        return draw_decision{.give_back = returned, .is_urgent = returned > 0};
    }
    if (input.is_idle) {
        return draw_decision{.give_back = input.free};
    }
    if (input.free > target * 2) {
        return draw_decision{.give_back = input.free - target};
    }
    const amount drawn = std::min(target - input.free, available / 2);
    // A draw shares its ledger write with a settlement, so keeping the grant full costs no further
    // calls. The grant must last through a partition.
    const bool is_normal = phase_of(options, input) == plan_phase::normal;
    const amount refill_below = is_normal ? target - target / 8 : target / 2;
    if (missing_elsewhere <= 0 && input.free < refill_below && drawn > target / 16) {
        const bool is_low = input.free < input.demand_per_second;
        return draw_decision{.draw = drawn, .is_urgent = is_low};
    }
    return {};
}

} // namespace samphireway::budget
