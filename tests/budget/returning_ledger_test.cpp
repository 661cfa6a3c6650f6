#include "escrow/ledger/ledger_join.h"
#include "support/budget_fleet.h"

#include <criterion/criterion.h>
#include <cstdlib>
#include <random>

namespace {

using namespace samphireway;
using namespace std::chrono_literals;
using testing::budget_fleet;

constexpr escrow::amount prepaid = 100'000;
// A request is owed if it fits into this share of what is prepaid.
constexpr escrow::amount owed_percent = 97;

/** What may happen beside the returns of the store. */
struct trouble {
    bool has_cuts = false; ///< Nodes are cut off from the store, also while it returns.
};

/** A fleet under random requests, on a store that keeps returning from copies of any age. */
class returning_fleet {
public:
    returning_fleet(std::size_t node_count, unsigned seed, trouble kinds_to_use)
        : fleet(node_count, 200), random(seed), kinds(kinds_to_use)
    {
        this->deposit();
    }

    void play(int steps)
    {
        for (int step = 0; step < steps; ++step) {
            this->send_and_settle();
            this->disturb();
            this->fleet.run(100ms);
        }
        this->calm_down();
    }

    /** Lets all nodes use what is left, with small requests. */
    void use_up()
    {
        constexpr int rounds = 400;
        for (int round = 0; round < rounds; ++round) {
            for (std::size_t node = 0; node < this->fleet.nodes.size(); ++node) {
                this->fleet.send(node, 300, "");
                this->settle_all(node);
            }
            this->fleet.run(100ms);
        }
        for (std::size_t node = 0; node < this->fleet.nodes.size(); ++node) {
            this->settle_all(node);
        }
    }

    budget_fleet fleet;
    int returns = 0;

private:
    int below(int bound)
    {
        return static_cast<int>(this->random() % static_cast<unsigned>(bound));
    }

    void deposit()
    {
        (void)this->fleet.accounts.deposit(budget_fleet::plan, "first", prepaid);
    }

    void settle_all(std::size_t node)
    {
        constexpr int hundred = 100;
        for (std::size_t count = this->fleet.nodes[node].requests.size(); count > 0; --count) {
            this->fleet.settle(node, hundred);
        }
    }

    void send_and_settle()
    {
        for (std::size_t node = 0; node < this->fleet.nodes.size(); ++node) {
            if (this->below(3) == 0) {
                this->fleet.send(node, 100 + this->below(1500), "");
            }
            if (this->below(3) == 0) {
                this->fleet.settle(node, this->below(101));
            }
        }
    }

    void disturb()
    {
        if (!this->fleet.store.is_down && this->below(25) == 0) {
            this->fleet.store.copy();
        }
        if (this->fleet.store.is_down && this->below(6) == 0) {
            this->come_back();
        }
        else if (!this->fleet.store.is_down && this->below(30) == 0) {
            this->fleet.store.is_down = true;
        }
        if (this->below(30) == 0) {
            this->fleet.store.lose_answers = 1;
        }
        budget_fleet::node& node =
            this->fleet
                .nodes[static_cast<std::size_t>(this->below(static_cast<int>(this->fleet.nodes.size())))];
        if (this->kinds.has_cuts && this->below(15) == 0) {
            node.is_cut = true;
        }
        if (this->below(10) == 0) {
            node.is_cut = false;
        }
    }

    void come_back()
    {
        this->fleet.store.is_down = false;
        this->fleet.store.return_from_copy();
        this->deposit();
        ++this->returns;
    }

    void calm_down()
    {
        if (this->fleet.store.is_down) {
            this->come_back();
        }
        this->fleet.store.lose_answers = 0;
        for (budget_fleet::node& node : this->fleet.nodes) {
            node.is_cut = false;
        }
        this->fleet.run(10s);
    }

    std::mt19937 random;
    const trouble kinds;
};

/** @param seeds number of plays, unless SAMPHIREWAY_TEST_SEEDS names another */
void check_returns(std::size_t node_count, unsigned seeds, trouble kinds)
{
    const char* const text = std::getenv("SAMPHIREWAY_TEST_SEEDS");
    seeds = text == nullptr ? seeds : static_cast<unsigned>(std::atoi(text));
    for (unsigned seed = 1; seed <= seeds; ++seed) {
        returning_fleet played(node_count, seed, kinds);
        played.fleet.store.copy();
        played.play(250);
        played.use_up();
        cr_expect_gt(played.returns, 0);
        cr_expect_leq(played.fleet.delivered, prepaid, "%zu nodes, seed %u: %ld delivered", node_count, seed,
                      played.fleet.delivered);
        cr_expect_geq(played.fleet.delivered, prepaid * owed_percent / 100,
                      "%zu nodes, seed %u: %ld delivered", node_count, seed, played.fleet.delivered);
    }
}

} // namespace

// Guards against a prepaid amount that is exceeded, or cannot be used any more, after the store has come back
// from copies of any age.
Test(returning_ledger, few_holders_use_what_is_prepaid_and_no_more)
{
    check_returns(3, 12, {});
}

// Guards against the same in a larger fleet.
Test(returning_ledger, many_holders_use_what_is_prepaid_and_no_more)
{
    check_returns(12, 4, {});
}

// Guards against the same when nodes are cut off from the store, also while it returns.
Test(returning_ledger, holders_that_are_cut_off_use_no_more_than_is_prepaid)
{
    check_returns(4, 12, {.has_cuts = true});
}

// Guards against a draw of what another holder has used, before that one has written its entry again.
Test(returning_ledger, nothing_is_drawn_until_others_have_written_again)
{
    budget_fleet fleet(2, 200);
    (void)fleet.accounts.deposit(budget_fleet::plan, "first", 10'000);
    fleet.send(1, 100, "");
    fleet.run(500ms);
    fleet.settle(1, 100);
    fleet.run(2s);
    fleet.store.copy();
    fleet.send(0, 8000, "");
    fleet.run(500ms);
    fleet.settle(0, 100);
    fleet.run(200ms);
    cr_assert_eq(fleet.delivered, 8100);
    fleet.store.return_from_copy();
    fleet.nodes[0].is_cut = true;
    fleet.send(1, 5000, "");
    fleet.run(1s);
    fleet.nodes[0].is_cut = false;
    fleet.run(5s);
    fleet.send(1, 5000, "");
    fleet.run(2s);
    fleet.settle(1, 100);
    fleet.settle(1, 100);
    cr_assert_leq(fleet.delivered, 10'000, "%ld delivered", fleet.delivered);
}

// Guards against an entry that is written again without what its holder had drawn and given back before.
Test(returning_ledger, lost_entry_is_completed_by_the_sums_of_its_holder)
{
    escrow::account account;
    account.deposits["d"] = 1000;
    const escrow::holder_entry entry = escrow::apply_update(
        account, "a",
        {.draw = 100, .granted_before = 300, .returned_before = 50, .spent_total = 200, .sequence = 7}, 2);
    cr_assert(!entry.is_closed);
    cr_assert_eq(entry.granted, 400);
    cr_assert_eq(entry.returned, 50);
    cr_assert_eq(account.available(), 650);
}

// Guards against the end of a holder that is undone, or counted twice, by an older state of its account.
Test(returning_ledger, ended_holders_stay_ended_and_count_once)
{
    escrow::ledger older;
    escrow::account& account = older.accounts["plan"];
    account.deposits["d"] = 1000;
    account.holders["a"] = {.granted = 300, .spent = 100, .sequence = 4};
    account.holders["b"] = {.granted = 200, .spent = 50, .sequence = 2};
    escrow::ledger newer = older;
    escrow::account& later = newer.accounts["plan"];
    escrow::apply_update(
        later, "a",
        {.give_back = 120, .granted_before = 300, .spent_total = 180, .sequence = 5, .is_final = true}, 1);
    cr_assert(escrow::close_holder(later, "b", 150, 0).has_value());
    const escrow::amount available = later.available();
    escrow::ledger joined = older;
    cr_assert(escrow::join(joined, newer));
    cr_assert(!escrow::join(joined, newer));
    cr_assert(!escrow::join(joined, older));
    cr_assert_eq(joined.accounts["plan"].available(), available);
    cr_assert(!escrow::join(newer, older));
    cr_assert_eq(later.available(), available);
}

// Guards against an ended process whose use is forgotten, since it was closed on an older state.
Test(returning_ledger, holder_closed_on_an_older_state_is_charged_what_is_known)
{
    escrow::ledger restored;
    restored.accounts["plan"].deposits["d"] = 1000;
    restored.accounts["plan"].holders["a"] = {.granted = 100, .spent = 40, .sequence = 1};
    escrow::ledger known = restored;
    known.accounts["plan"].holders["a"] = {.granted = 500, .spent = 300, .sequence = 6};
    cr_assert(escrow::close_holder(restored.accounts["plan"], "a", 60, 0).has_value());
    cr_assert_eq(restored.accounts["plan"].available(), 900);
    cr_assert(escrow::join(restored, known));
    cr_assert_eq(restored.accounts["plan"].available(), 500);
}

// Guards against a stored form that an older build cannot read, or that loses what a newer one has written.
Test(returning_ledger, stored_form_keeps_ends_and_generation)
{
    escrow::ledger value;
    value.generation = 3;
    escrow::account& account = value.accounts["plan"];
    account.ended["a"] = {.spent = 7, .ended_at_ms = 9};
    account.closures["b"] = {.charged = 1, .released = 2, .spent = 3, .closed_at_ms = 4};
    account.closures["c"] = {.charged = 1, .released = 2, .closed_at_ms = 4};
    const core::result<escrow::ledger> read = escrow::ledger_from_json(escrow::to_json(value));
    cr_assert(read.has_value());
    cr_assert_eq(read->generation, 3U);
    cr_assert_eq(read->accounts.at("plan").ended.at("a").spent, 7);
    cr_assert_eq(read->accounts.at("plan").closures.at("b").spent.value(), 3);
    cr_assert(!read->accounts.at("plan").closures.at("c").spent.has_value());
}
