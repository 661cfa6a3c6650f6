#include "support/budget_commands.h"

#include <criterion/criterion.h>
#include <cstdlib>
#include <rapidcheck.h>

namespace {

using namespace samphireway;
using testing::budget_command;
using testing::budget_fleet;

constexpr std::size_t holders = 4;

rc::Gen<std::vector<budget_command>> command_sequences()
{
    return rc::gen::container<std::vector<budget_command>>(
        rc::gen::map(rc::gen::tuple(rc::gen::inRange<std::size_t>(0, testing::random_verbs.size()),
                                    rc::gen::inRange<int>(0, holders), rc::gen::inRange<int>(0, 1000)),
                     [](const std::tuple<std::size_t, int, int>& parts) {
                         return budget_command{.verb = testing::random_verbs.at(std::get<0>(parts)),
                                               .node = std::get<1>(parts),
                                               .value = std::get<2>(parts)};
                     }));
}

/**
    Runs a command sequence, then a planned stop of all nodes. Returns the violations found, empty
    when none.
*/
std::string run(const std::vector<budget_command>& commands)
{
    budget_fleet fleet(holders, 200);
    (void)fleet.accounts.deposit(budget_fleet::plan, "first", 3000);
    int step = 0;
    for (const budget_command& command : commands) {
        testing::apply_command(fleet, command, ++step);
    }
    fleet.complete();
    std::ostringstream wrong;
    budget::history_options options{.is_complete = true};
    for (const budget::budget_event& event : fleet.recorder.events) {
        if (fleet.lost_holders.contains(event.holder.substr(0, event.holder.find('.')))) {
            options.lost_holders.insert(event.holder);
        }
    }
    for (const budget::history_violation& found : budget::check_history(fleet.recorder.events, options)) {
        wrong << "event " << found.event << " " << found.rule << ": " << found.detail << '\n';
    }
    const escrow::account account = fleet.stored();
    for (const budget_fleet::node& node : fleet.nodes) {
        for (const auto& [holder, entry] : account.holders) {
            if (holder.starts_with(node.holder) && entry.outstanding() != 0) {
                wrong << holder << " still holds " << entry.outstanding() << " after a planned stop\n";
            }
        }
    }
    for (const budget_fleet::node& node : fleet.nodes) {
        if (!node.grant_pool->is_drained()) {
            wrong << node.holder << " is not drained\n";
        }
    }
    return wrong.str();
}

} // namespace

// Guards against orders of commands and faults that overspend a plan, bill a request id twice, reserve
// more than the grant or leave tokens granted to a stopped holder.
Test(budget_property, random_command_sequences_keep_the_invariants)
{
    setenv("RC_PARAMS", "seed=20261204 max_success=1000 max_size=120", 1);
    const bool holds = rc::check("random command sequences keep the budget invariants", [] {
        const std::vector<budget_command> commands = *command_sequences();
        const std::string wrong = run(commands);
        if (!wrong.empty()) {
            RC_FAIL(wrong);
        }
    });
    cr_assert(holds);
}
