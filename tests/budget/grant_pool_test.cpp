#include "support/budget_fleet.h"

#include <criterion/criterion.h>

namespace {

using namespace samphireway;
using testing::budget_fleet;

/** Writes one update of a holder to an account. Returns the ledger as stored, or the error. */
core::result<escrow::ledger> write(escrow::ledger_client& client, const platform::object_store& store,
                                   const escrow::entry_update& update)
{
    return client.update(store, [&update](escrow::ledger& ledger) {
        escrow::apply_update(ledger.accounts["plan"], "node", update);
        return true;
    });
}

} // namespace

// Guards against reserving a returned amount when the first attempt of the return has an unknown
// outcome and a retry fails with `not_run`.
Test(grant_holder, failed_retry_does_not_end_an_update_of_unknown_outcome)
{
    escrow::grant_holder holder;
    holder.commit({.granted = 400, .sequence = 1});
    const escrow::entry_update first = holder.prepare(0, 300);
    holder.mark_outcome_unknown();
    holder.abandon();
    cr_assert(!holder.reserve(200));
    cr_assert_eq(holder.prepare(0, 0).sequence, first.sequence);
    cr_assert_eq(holder.prepare(0, 0).give_back, 300);
    holder.commit({.granted = 400, .returned = 300, .sequence = 2});
    cr_assert_eq(holder.free(), 100);
}

// Guards against reserving a returned amount while the write that returns it is in flight.
Test(grant_holder, returned_amount_is_not_reserved_while_in_flight)
{
    escrow::grant_holder holder;
    holder.commit({.granted = 400, .sequence = 1});
    (void)holder.prepare(0, 300);
    cr_assert(!holder.reserve(101));
    cr_assert(holder.reserve(100));
    holder.commit({.granted = 400, .returned = 300, .sequence = 2});
    cr_assert_eq(holder.free(), 0);
}

// Guards against reporting `not_run` after repeated conflicts, when an earlier attempt may have taken
// effect.
Test(ledger_client, repeated_conflicts_report_an_unknown_outcome)
{
    testing::fake_object_store fake;
    const platform::object_store store = fake.hooks();
    escrow::ledger_client client("ledger/budget/0");
    platform::object_store contended = store;
    contended.put = [&store](const std::string& key, const Json::Value&, platform::object_version expected) {
        const Json::Value other = escrow::to_json(escrow::ledger{});
        (void)store.put(key, other, expected);
        return store.put(key, other, expected);
    };
    const core::result<escrow::ledger> outcome = write(client, contended, {.draw = 1, .sequence = 1});
    cr_assert(!outcome.has_value());
    cr_assert(outcome.error().run == core::verdict::may_have_run);
}

// Guards against a closed holder that continues to spend after it has seen the closure, and against
// reuse of its entry id.
Test(apply_update, a_closed_entry_is_not_used_again)
{
    escrow::account account;
    account.deposits["first"] = 1000;
    escrow::apply_update(account, "node", {.draw = 400, .sequence = 1});
    cr_assert(escrow::close_holder(account, "node", 400, 0).has_value());
    const escrow::holder_entry entry = escrow::apply_update(account, "node", {.draw = 100, .sequence = 2});
    cr_assert(entry.is_closed);
    cr_assert_eq(account.spent(), 400);
    cr_assert_eq(account.available(), 600);
    escrow::grant_holder holder;
    holder.commit({.granted = 400, .sequence = 1});
    const std::optional<std::uint32_t> epoch = holder.reserve_in_epoch(100);
    holder.commit(entry);
    cr_assert(!holder.reserve(1));
    holder.settle(100, 100, 0, *epoch);
    cr_assert_eq(holder.spent(), 0);
    cr_assert_neq(holder.epoch(), *epoch);
}

// Guards against a node that reserves, after a pause, from a grant that an operator may have closed
// meanwhile.
Test(grant_pool, a_paused_node_reserves_nothing_before_it_has_read_the_ledger)
{
    budget_fleet fleet(2);
    (void)fleet.accounts.deposit(budget_fleet::plan, "first", 100000);
    fleet.send(0, 100, "");
    fleet.run(std::chrono::seconds(3));
    cr_assert(fleet.nodes[0].grant_pool->reserve(budget_fleet::plan, 10).has_value());
    fleet.advance(std::chrono::seconds(60));
    fleet.nodes[0].is_cut = true;
    const auto refused = fleet.nodes[0].grant_pool->reserve(budget_fleet::plan, 10);
    cr_assert(!refused.has_value());
    cr_assert(refused.error().run == core::verdict::not_run);
    fleet.run(std::chrono::seconds(3));
    cr_assert(!fleet.nodes[0].grant_pool->reserve(budget_fleet::plan, 10).has_value());
    fleet.nodes[0].is_cut = false;
    fleet.run(std::chrono::seconds(6));
    cr_assert(fleet.nodes[0].grant_pool->reserve(budget_fleet::plan, 10).has_value());
}

// Guards against a ledger object that grows without bound, and against dropping newer request ids
// before older ones.
Test(ledger, billed_request_ids_are_bounded_and_the_oldest_are_dropped_first)
{
    escrow::ledger ledger;
    escrow::account& account = ledger.accounts["plan"];
    account.deposits["first"] = 1000000;
    escrow::entry_update update{.spent_total = 0, .sequence = 1, .written_at_ms = 60000};
    for (std::uint64_t hash = 1; hash <= escrow::maximum_request_ids_per_ledger + 100; ++hash) {
        account.billed_requests[static_cast<std::int64_t>(hash / 1000) * 60000].push_back(hash);
    }
    cr_assert_eq(escrow::drop_excess_request_ids(ledger), 100);
    cr_assert(!account.is_billed(100));
    cr_assert(account.is_billed(101));
    cr_assert_lt(core::write_json(escrow::to_json(ledger)).size(), escrow::maximum_ledger_bytes);
}

// Guards against a clock that jumps ahead and so drops request ids that were billed shortly before.
Test(ledger, a_clock_jump_keeps_the_newest_request_ids)
{
    escrow::account account;
    account.deposits["first"] = 1000;
    escrow::apply_update(account, "a", {.draw = 500, .sequence = 1, .written_at_ms = 1000});
    escrow::apply_update(account, "a",
                         {.spent_total = 50, .sequence = 2, .written_at_ms = 1000, .bills = {{7, 50}}});
    escrow::apply_update(account, "b", {.draw = 500, .sequence = 1, .written_at_ms = 90'000'000});
    const escrow::holder_entry entry = escrow::apply_update(
        account, "b", {.spent_total = 60, .sequence = 2, .written_at_ms = 90'000'000, .bills = {{7, 60}}});
    cr_assert_eq(entry.spent, 0);
    cr_assert_eq(account.spent(), 50);
}

// Guards against deposits that make the object grow without bound, and against a limit that changes
// when deposits are folded.
Test(ledger, old_deposits_are_folded_into_a_sum)
{
    escrow::account account;
    for (int index = 0; index < 100; ++index) {
        account.deposits[std::to_string(index)] = 10;
        account.deposit_times[std::to_string(index)] = index;
    }
    escrow::fold_old_entries(account, escrow::fold_age_ms + 1000);
    cr_assert_eq(account.deposits.size(), escrow::minimum_deposits_kept);
    cr_assert_eq(account.limit(), 1000);
    escrow::fold_old_entries(account, escrow::fold_age_ms);
    cr_assert_eq(account.limit(), 1000);
}
