#include "budget/budget.h"

#include <criterion/criterion.h>
#include <functional>

namespace {

using namespace samphireway;
using budget::budget_event;
using kind = budget::budget_event_kind;

budget_event make_write(const std::string& holder, const escrow::holder_entry& entry,
                        std::vector<std::uint64_t> billed = {})
{
    return {.kind = kind::ledger_write,
            .plan = "plan",
            .holder = holder,
            .entry = entry,
            .billed = std::move(billed)};
}

budget_event make_event(kind what, const std::string& holder, const std::string& request, escrow::amount sum,
                        std::uint64_t hash = 0)
{
    return {
        .kind = what, .plan = "plan", .holder = holder, .request = request, .request_hash = hash, .sum = sum};
}

/**
    Returns a correct history of two holders, with a request id that ran at both and is billed at the
    first.
*/
std::vector<budget_event> correct_history()
{
    return {make_event(kind::deposit, "", "", 1000),
            make_write("a", {.granted = 400, .sequence = 1}),
            make_write("b", {.granted = 600, .sequence = 1}),
            make_event(kind::reservation, "a", "r1", 300, 7),
            make_event(kind::dispatch, "a", "r1", 0),
            make_event(kind::settlement, "a", "r1", 250, 7),
            make_event(kind::reservation, "b", "r2", 300, 7),
            make_event(kind::dispatch, "b", "r2", 0),
            make_event(kind::settlement, "b", "r2", 200, 7),
            make_write("a", {.granted = 400, .spent = 250, .returned = 150, .sequence = 2}, {7}),
            make_write("b", {.granted = 600, .spent = 0, .returned = 0, .sequence = 2}),
            make_event(kind::reservation, "b", "r3", 600)};
}

bool violates(const std::vector<budget_event>& history, const std::string& rule, bool is_complete = false)
{
    for (const budget::history_violation& found :
         budget::check_history(history, {.is_complete = is_complete})) {
        if (found.rule == rule) {
            return true;
        }
    }
    return false;
}

} // namespace

// Guards against a checker that reports correct histories.
Test(budget_history_checker, accepts_a_correct_history)
{
    cr_assert(budget::check_history(correct_history()).empty());
}

// Guards against a checker that misses violations: each history violates the rule that it names.
Test(budget_history_checker, rejects_broken_histories)
{
    struct broken {
        const char* rule;
        std::function<void(std::vector<budget_event>&)> damage;
    };
    const std::vector<broken> cases = {
        {"overspend",
         [](auto& events) {
             events[0].sum = 200;
         }},
        {"overgrant",
         [](auto& events) {
             events[2].entry.granted = 601;
         }},
        {"uncovered_reservation",
         [](auto& events) {
             events[11].sum = 601;
         }},
        {"uncovered_reservation",
         [](auto& events) {
             events[3].sum = 401;
         }},
        {"uncovered_reservation",
         [](auto& events) {
             events[9].entry.returned = 151;
         }},
        {"dispatch_without_reservation",
         [](auto& events) {
             events.erase(events.begin() + 3);
         }},
        {"settlement_above_reservation",
         [](auto& events) {
             events[5].sum = 301;
         }},
        {"billed_twice",
         [](auto& events) {
             events[10].billed = {7};
         }},
        {"spent_without_use",
         [](auto& events) {
             events[10].entry.spent = 200;
         }},
        {"entry_not_monotonic",
         [](auto& events) {
             events[9].entry.granted = 399;
         }},
        {"entry_not_monotonic",
         [](auto& events) {
             events[10].entry.sequence = 1;
         }},
        {"entry_not_monotonic",
         [](auto& events) {
             events.insert(events.begin() + 9, make_event(kind::closure, "a", "", 150));
         }},
        {"uncovered_reservation",
         [](auto& events) {
             events.insert(events.begin() + 11, make_event(kind::closure, "b", "", 599));
         }},
        {"overspend",
         [](auto& events) {
             events.insert(events.end(), make_event(kind::closure, "b", "", 751));
         }},
    };
    for (const broken& entry : cases) {
        std::vector<budget_event> history = correct_history();
        entry.damage(history);
        cr_assert(violates(history, entry.rule), "the checker did not report %s", entry.rule);
    }
}

// Guards against a checker that misses a use that is never billed, for example because a write was
// lost.
Test(budget_history_checker, rejects_use_that_is_not_billed)
{
    std::vector<budget_event> history = correct_history();
    history[9].entry.spent = 200;
    cr_assert(!violates(history, "use_not_billed"));
    cr_assert(violates(history, "use_not_billed", true));
}

// Guards against a checker that cannot tell a broken allocator from a correct one on the same commands.
Test(budget_history_checker, rejects_a_broken_allocator)
{
    using allocator = std::function<escrow::holder_entry(escrow::account&, const std::string&,
                                                         const escrow::entry_update&)>;
    const auto run = [](const allocator& allocate) {
        std::vector<budget_event> events = {make_event(kind::deposit, "", "", 1000)};
        escrow::account account;
        account.deposits["first"] = 1000;
        for (const std::string holder : {"a", "b", "c"}) {
            const escrow::holder_entry entry = allocate(account, holder, {.draw = 400, .sequence = 1});
            events.push_back(make_write(holder, entry));
            events.push_back(make_event(kind::reservation, holder, holder + "1", entry.granted));
            events.push_back(make_event(kind::settlement, holder, holder + "1", entry.granted));
        }
        return events;
    };
    const auto broken = [](escrow::account& account, const std::string& holder,
                           const escrow::entry_update& update) {
        escrow::holder_entry& entry = account.holders[holder];
        entry.granted += update.draw; // Ignores what is available.
        entry.sequence = update.sequence;
        return entry;
    };
    cr_assert(budget::check_history(run([](auto& account, const auto& holder, const auto& update) {
                  return escrow::apply_update(account, holder, update);
              })).empty());
    cr_assert(violates(run(broken), "overgrant"));
    cr_assert(violates(run(broken), "overspend"));
}
