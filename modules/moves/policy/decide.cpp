#include "moves/policy/decide.h"

#include <algorithm>

namespace samphireway::moves {

namespace {

/// Each outcome counts for its plan's route, its workspace and all traffic, so this
/// covers three million requests.
constexpr double outcomes_per_move = 1e7;

/// Fraction of the error rate for the slowdowns of all traffic. Few comparisons share it, so a small
/// fraction is enough to find a fault quickly.
constexpr double slowdown_fraction = 0.1;

bool is_set(core::wall_time time)
{
    return time != core::wall_time{};
}

move_state unfinished_state(const move_record& record, const configuration::move_entry& move)
{
    if (is_set(record.late_since) && record.late_deadline == move.deadline) {
        return move_state::late;
    }
    if (!record.has_begun()) {
        return move_state::pending;
    }
    if (record.step == 0) {
        return move_state::canary;
    }
    return record.step < holding_step ? move_state::ramping : move_state::holding;
}

std::string describe(const route_fault& fault)
{
    const auto part = [](const proportion& value) {
        return std::to_string(value.faults) + " of " + std::to_string(value.total);
    };
    const std::string where = fault.route == all_routes ? "all routes" : "route " + fault.route;
    return fault.found.signal + " on " + where + ": new version " + part(fault.found.new_version) +
           ", old version " + part(fault.found.old_version);
}

void set_final_state(move_record& record, move_state state, const std::string& reason, core::wall_time now)
{
    record.state = state;
    record.reason = reason;
    record.finished = now;
}

std::string waiting_reason(const configuration::move_entry& move, const observations& seen,
                           core::wall_time now)
{
    const move_record& record = seen.recorded;
    if (!record.has_begun()) {
        if (!seen.blocking_reason.empty()) {
            return seen.blocking_reason;
        }
        return seen.is_new_ready ? "starting" : "no upstream serves the new version";
    }
    const bool is_deadline_too_near = move.deadline - record.begun < minimum_remaining_time(0, seen.limits);
    if (is_deadline_too_near) {
        return "the hour is too near for a ramp";
    }
    if (seen.step_requests < seen.limits.step_requests) {
        return "too little traffic to judge: " + std::to_string(seen.step_requests) + " of " +
               std::to_string(seen.limits.step_requests) + " requests of the new version in this step";
    }
    const core::wall_time step_end =
        step_deadline(record.step, record.begun, record.step_since, move.deadline, seen.limits);
    return now < step_end ? "the step is being observed" : "the next step is due";
}

/** Advances an unfinished record by at most one step. */
void advance(move_record& record, const configuration::move_entry& move, const observations& seen,
             core::wall_time now)
{
    if (!record.has_begun()) {
        if (seen.blocking_reason.empty() && seen.is_new_ready) {
            record.begun = now;
            record.step_since = now;
        }
        return;
    }
    record.cleared.insert(seen.clearable_routes.begin(), seen.clearable_routes.end());
    const core::wall_time step_end =
        step_deadline(record.step, record.begun, record.step_since, move.deadline, seen.limits);
    if (now < step_end || seen.step_requests < seen.limits.step_requests) {
        return;
    }
    if (record.step == holding_step) {
        const bool was_late = now >= move.deadline;
        set_final_state(record, move_state::done,
                        was_late ? "full load held, after the hour" : "full load held before the hour", now);
        return;
    }
    ++record.step;
    record.step_since = now;
}

void record_lateness(move_record& record, const configuration::move_entry& move, core::wall_time now)
{
    if (!record.is_final() && now >= move.deadline && record.late_deadline != move.deadline) {
        record.late_since = now;
        record.late_deadline = move.deadline;
    }
}

} // namespace

double decision::share(const std::string& route) const
{
    return this->next.cleared.contains(route) ? this->shares.cleared : this->shares.uncleared;
}

version_shares shares_from_record(const configuration::move_entry& move, const move_record& record)
{
    if (record.generation != move.generation) {
        return {};
    }
    if (record.state == move_state::done) {
        return {.cleared = 1, .uncleared = 1};
    }
    if (record.is_final() || !record.has_begun()) {
        return {};
    }
    const ramp_step& step = ramp_steps.at(static_cast<std::size_t>(std::clamp(record.step, 0, holding_step)));
    return {.cleared = step.cleared_share, .uncleared = step.uncleared_share};
}

decision decide(const configuration::move_entry& move, const observations& seen, core::wall_time now)
{
    decision made{.next = seen.recorded};
    move_record& record = made.next;
    if (record.generation < move.generation) {
        record = move_record{
            .generation = move.generation, .from_version = move.from_version, .to_version = move.to_version};
    }
    // A record of a later generation means that this node's configuration is outdated.
    const bool is_outdated = record.generation > move.generation;
    record.step = std::clamp(record.step, 0, holding_step);
    if (!is_outdated && !record.is_final()) {
        if (seen.fault && seen.fault->found.is_confirmed) {
            record.fault = seen.fault;
            set_final_state(record, move_state::taken_back, describe(*seen.fault), now);
        }
        else if (move.is_aborted) {
            set_final_state(record, move_state::aborted, "aborted by an operator", now);
        }
        else {
            record_lateness(record, move, now);
            made.is_suspended = seen.fault.has_value();
            if (!made.is_suspended) {
                advance(record, move, seen, now);
            }
        }
    }
    if (!record.is_final()) {
        observations after = seen;
        after.recorded = record;
        record.reason = made.is_suspended ? "suspended, to be confirmed: " + describe(*seen.fault)
                                          : waiting_reason(move, after, now);
        record.state = unfinished_state(record, move);
    }
    made.state = record.state;
    made.reason = record.reason;
    made.shares = made.is_suspended ? version_shares{} : shares_from_record(move, record);
    return made;
}

detection_limits make_detection_limits(const ramp_limits& limits)
{
    const double slowdown_rate = limits.error_rate * slowdown_fraction;
    const double half_of_rest = (limits.error_rate - slowdown_rate) / 2;
    const auto routes = static_cast<double>(evidence_table::maximum_routes);
    const auto comparisons = static_cast<double>(ramp_steps.size() * tests_per_comparison);
    return detection_limits{.slowdown_error_rate = slowdown_rate / static_cast<double>(tests_per_slowdown),
                            .step_error_rate = half_of_rest / (2 * routes * comparisons),
                            .detection_threshold = detection_threshold(half_of_rest, outcomes_per_move)};
}

} // namespace samphireway::moves
