#include "support/budget_commands.h"

#include <criterion/criterion.h>
#include <filesystem>
#include <fstream>

namespace {

using namespace samphireway;
using testing::budget_command;
using testing::budget_fleet;

constexpr std::size_t holders = 4;

escrow::amount count_reserved(const budget_fleet::node& node)
{
    return std::count_if(node.requests.begin(), node.requests.end(),
                         [](const budget_fleet::request& entry) { return entry.held.has_value(); });
}

/**
    Returns the value of the quantity that an `expect` line names. Reads its arguments from the
    remainder of the line.
*/
escrow::amount quantity(budget_fleet& fleet, const std::string& what, std::istream& line)
{
    if (what == "refused") {
        std::string code;
        line >> code;
        return std::count_if(
            fleet.refusals.begin(), fleet.refusals.end(), [&code](const core::error& refusal) {
                return core::to_string(refusal.code) == code && refusal.run == core::verdict::not_run;
            });
    }
    if (what == "reserved_all") {
        escrow::amount sum = 0;
        for (const budget_fleet::node& node : fleet.nodes) {
            sum += count_reserved(node);
        }
        return sum;
    }
    if (what == "reserved" || what == "free") {
        std::size_t index = 0;
        line >> index;
        const budget_fleet::node& node = fleet.nodes.at(index);
        return what == "free" ? node.grant_pool->free(budget_fleet::plan) : count_reserved(node);
    }
    const escrow::account account = fleet.stored();
    if (what == "limit") {
        return account.limit();
    }
    if (what == "spent") {
        return account.spent();
    }
    cr_assert_eq(what, "held", "unknown quantity %s", what.c_str());
    escrow::amount held = 0;
    for (const auto& [holder, entry] : account.holders) {
        held += fleet.lost_holders.contains(holder) ? 0 : entry.outstanding();
    }
    return held;
}

void replay(const std::filesystem::path& file)
{
    budget_fleet fleet(holders, 200);
    std::ifstream stream(file);
    std::string text;
    for (int step = 1; std::getline(stream, text); ++step) {
        std::istringstream line(text);
        budget_command command;
        line >> command.verb;
        if (command.verb.empty() || command.verb == "#") {
            continue;
        }
        const std::string where = file.filename().string() + ":" + std::to_string(step);
        if (command.verb == "expect") {
            std::string what;
            line >> what;
            const escrow::amount found = quantity(fleet, what, line);
            escrow::amount expected = -1;
            line >> expected;
            cr_expect_eq(found, expected, "%s: %s is %ld, expected %ld", where.c_str(), what.c_str(), found,
                         expected);
            continue;
        }
        if (command.verb == "limit") {
            line >> command.value;
            (void)fleet.accounts.deposit(budget_fleet::plan, "first", command.value);
            continue;
        }
        line >> command.node >> command.value;
        if (command.verb == "complete") {
            fleet.complete();
        }
        else if (command.verb == "deposit_as") {
            (void)fleet.accounts.deposit(budget_fleet::plan, "id-" + std::to_string(command.node),
                                         command.value);
        }
        else {
            cr_assert(testing::apply_command(fleet, command, step), "%s: unknown verb", where.c_str());
        }
    }
    for (const budget::history_violation& found : budget::check_history(fleet.recorder.events)) {
        cr_expect(false, "%s: event %zu %s: %s", file.filename().c_str(), found.event, found.rule.c_str(),
                  found.detail.c_str());
    }
}

} // namespace

// Guards against changed outcomes of recorded failures. The file of each trace states its failure.
Test(budget_traces, recorded_traces_have_the_expected_outcomes)
{
    int count = 0;
    for (const auto& entry : std::filesystem::directory_iterator(SAMPHIREWAY_TRACES)) {
        replay(entry.path());
        ++count;
    }
    cr_assert_gt(count, 0);
}
