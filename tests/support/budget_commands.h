#pragma once

#include "support/budget_fleet.h"

#include <array>
#include <sstream>

namespace samphireway::testing {

/** One step of a recorded trace, written as `verb node value`. @see apply_command */
struct budget_command {
    std::string verb;
    int node = 0;
    int value = 0;
};

inline std::string to_string(const budget_command& command)
{
    return command.verb + " " + std::to_string(command.node) + " " + std::to_string(command.value);
}

inline std::ostream& operator<<(std::ostream& stream, const budget_command& command)
{
    return stream << to_string(command);
}

/** Verbs that random sequences draw from with equal weight; frequent verbs are listed several times. */
constexpr std::array<const char*, 40> random_verbs{"send",         "send",
                                                   "send",         "send_with_id",
                                                   "send_with_id", "send_with_id",
                                                   "settle",       "settle",
                                                   "settle",       "settle",
                                                   "collect",      "collect",
                                                   "write",        "write",
                                                   "tick",         "tick",
                                                   "tick",         "tick",
                                                   "run",          "run",
                                                   "run",          "deposit",
                                                   "reduce",       "pause",
                                                   "resume",       "resume",
                                                   "crash",        "lose_answer",
                                                   "lose_answer",  "lose_write",
                                                   "delay_write",  "deliver",
                                                   "cut",          "cut_after_write",
                                                   "heal",         "heal",
                                                   "wall_jump",    "close_dead",
                                                   "close_live",   "down"};

/** Settles the oldest crashed holder as an operator, who charges at least the reservations that the history
    shows and releases the given percentage of the remainder. */
inline void close_dead(budget_fleet& fleet, int percent_released)
{
    if (fleet.crashed_holders.empty()) {
        return;
    }
    const std::string holder = fleet.crashed_holders.front();
    fleet.crashed_holders.erase(fleet.crashed_holders.begin());
    const escrow::account account = fleet.stored();
    const auto entry = account.holders.find(holder);
    if (entry == account.holders.end()) {
        return;
    }
    // Only tokens that the history shows as never reserved can be released.
    escrow::amount reserved = 0;
    for (const budget::budget_event& event : fleet.recorder.events) {
        if (event.holder == holder && event.kind == budget::budget_event_kind::reservation) {
            reserved += event.sum;
        }
    }
    constexpr int hundred = 100;
    const escrow::amount outstanding = entry->second.outstanding();
    const escrow::amount minimum_charge =
        std::clamp<escrow::amount>(reserved - entry->second.spent, 0, outstanding);
    const escrow::amount charged = outstanding - (outstanding - minimum_charge) * percent_released / hundred;
    (void)fleet.accounts.settle_in_doubt(budget_fleet::plan, holder, charged);
}

/** Applies one command. Returns false for an unknown verb, which means that the trace is invalid. */
inline bool apply_command(budget_fleet& fleet, const budget_command& command, int step)
{
    const auto index = static_cast<std::size_t>(command.node) % fleet.nodes.size();
    budget_fleet::node& node = fleet.nodes[index];
    const std::string& verb = command.verb;
    const int value = command.value;
    const std::chrono::milliseconds time{value * 10};
    if (verb == "send") {
        fleet.send(index, value, "");
    }
    else if (verb == "send_with_id") {
        fleet.send(index, 50, "id-" + std::to_string(value % 16));
    }
    else if (verb == "settle") {
        fleet.settle(index, value % 101);
    }
    else if (verb == "collect") {
        fleet.collect(index);
    }
    else if (verb == "write") {
        fleet.write(index);
    }
    else if (verb == "tick") {
        fleet.advance(std::chrono::milliseconds(100));
        fleet.tick(index);
    }
    else if (verb == "run") {
        fleet.run(time);
    }
    else if (verb == "deposit") {
        (void)fleet.accounts.deposit(budget_fleet::plan, "deposit-" + std::to_string(step), value + 1);
    }
    else if (verb == "reduce") {
        (void)fleet.accounts.reduce(budget_fleet::plan, "reduction-" + std::to_string(step), value + 1);
    }
    else if (verb == "remove") {
        (void)fleet.accounts.remove(budget_fleet::plan);
    }
    else if (verb == "pause") {
        node.is_paused = true;
    }
    else if (verb == "resume") {
        node.is_paused = false;
    }
    else if (verb == "crash") {
        fleet.start(index);
    }
    else if (verb == "lose_answer") {
        fleet.store.lose_answers = 1;
    }
    else if (verb == "lose_write") {
        fleet.store.lose_writes = 1;
    }
    else if (verb == "delay_write") {
        fleet.store.delay_writes = 1;
    }
    else if (verb == "deliver") {
        fleet.store.deliver_delayed();
    }
    else if (verb == "cut") {
        node.is_cut = true;
    }
    else if (verb == "cut_after_write") {
        node.is_cut_after_write = true;
    }
    else if (verb == "heal") {
        node.is_cut = false;
        fleet.store.is_down = false;
    }
    else if (verb == "down") {
        fleet.store.is_down = true;
    }
    else if (verb == "wall_jump") {
        node.wall_offset = std::chrono::minutes(value - 500);
    }
    else if (verb == "close_dead") {
        close_dead(fleet, value % 101);
    }
    else if (verb == "close_live") {
        (void)fleet.accounts.settle_in_doubt(budget_fleet::plan, node.holder, std::nullopt);
    }
    else if (verb == "stop") {
        node.grant_pool->start_drain();
    }
    else if (verb == "advance") {
        fleet.advance(std::chrono::seconds(value));
    }
    else {
        return false;
    }
    return true;
}

} // namespace samphireway::testing
