#include "gateway/control/budget_supply.h"
#include "gateway/control/generation_watch.h"
#include "support/fake_object_store.h"

#include <criterion/criterion.h>
#include <vector>

namespace {

using namespace samphireway;
using namespace std::chrono_literals;

constexpr const char* workspace = "coop";

/** A budget supply of one process whose tasks all run at once, on a store that can come back from a copy. */
struct supply_fixture {
    testing::fake_object_store store;
    core::steady_time now = std::chrono::steady_clock::now();
    gateway::budget_supply supply{{.node = "node-1",
                                   .holder = "node-1.a",
                                   .store = this->store.hooks(),
                                   .budget = {},
                                   .run_control = [](const std::function<void()>& task) { task(); },
                                   .run_control_at = [](core::steady_time, const std::function<void()>&) {},
                                   .run_blocking = [](const std::function<void()>& task) { task(); },
                                   .on_change =
                                       [] {
                                       }}};

    void set_total(std::int64_t tokens)
    {
        this->supply.set_deposits({.totals = {{workspace, tokens}}, .node = "node-1", .holder = "node-1.a"},
                                  this->now);
    }

    std::int64_t stored_limit()
    {
        escrow::ledger_client client(budget::grant_pool::object_key(0));
        const core::result<escrow::ledger> ledger = client.read(this->store.hooks());
        const bool exists = ledger && ledger->accounts.contains(workspace);
        return exists ? ledger->accounts.at(workspace).limit() : 0;
    }

    /** Returns what a waiting request learns from a ledger that is read now. */
    std::optional<core::result<budget::reservation>> ask(escrow::amount tokens)
    {
        const budget::waiting_request request =
            this->supply.grant_pool().start_waiting(workspace, tokens, this->now + 1h);
        this->supply.tick(std::chrono::steady_clock::now());
        return this->supply.grant_pool().try_waiting(request, std::chrono::steady_clock::now());
    }
};

} // namespace

// Guards against a deposit that counts as stored after the store has lost it.
Test(returning_store_supply, deposit_is_stored_again_after_a_restore)
{
    supply_fixture fixture;
    fixture.set_total(1000);
    fixture.store.copy();
    fixture.set_total(9000);
    fixture.store.return_from_copy();
    fixture.supply.on_restore(fixture.now);
    cr_assert_eq(fixture.stored_limit(), 9000);
}

// Guards against a restore that is noticed while the deposits of the earlier generation are being stored.
Test(returning_store_supply, accounts_that_the_copy_lacks_are_created_again)
{
    supply_fixture fixture;
    fixture.store.copy();
    fixture.set_total(1000);
    for (int round = 0; round < 2; ++round) {
        fixture.store.return_from_copy();
        cr_assert_eq(fixture.stored_limit(), 0);
        fixture.supply.on_restore(fixture.now);
        cr_assert_eq(fixture.stored_limit(), 1000);
    }
}

// Guards against requests that are refused as beyond the budget by a copy which lacks a deposit.
Test(returning_store_supply, budget_is_not_exhausted_while_a_deposit_may_be_lost)
{
    supply_fixture fixture;
    fixture.set_total(1000);
    fixture.store.copy();
    fixture.set_total(90000);
    fixture.store.return_from_copy();
    fixture.store.lose_writes = 1;
    fixture.supply.on_restore(fixture.now);
    cr_assert_eq(fixture.stored_limit(), 1000);
    const auto outcome = fixture.ask(50000);
    cr_assert(!outcome.has_value());
}

// Guards against a restore that no list shows, and against the start of a node that is taken for one.
Test(returning_store_supply, restore_is_learnt_from_whatever_answers_first)
{
    testing::fake_object_store fake;
    std::vector<std::uint64_t> restores;
    gateway::generation_watch generations(
        [&restores](std::uint64_t generation) { restores.push_back(generation); });
    const platform::object_store store = generations.observe(fake.hooks());
    fake.copy();
    cr_assert(store.get("ledger/0").has_value());
    cr_assert(restores.empty());
    fake.return_from_copy();
    cr_assert(store.get("ledger/0").has_value());
    cr_assert(store.put("ledger/0", Json::Value(1), 0).has_value());
    fake.return_from_copy();
    cr_assert(store.put("ledger/0", Json::Value(1), 0).has_value());
    generations.record(2);
    generations.record(0);
    cr_assert_eq(restores, (std::vector<std::uint64_t>{2, 3}));
}
