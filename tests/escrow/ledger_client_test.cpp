#include "escrow/escrow.h"
#include "support/fake_object_store.h"

#include <criterion/criterion.h>

namespace {

using namespace samphireway;

constexpr const char* key = "ledger/budget/0";

void deposit(const platform::object_store& store, escrow::amount sum)
{
    escrow::ledger_client client(key);
    const core::result<escrow::ledger> written = client.update(store, [sum](escrow::ledger& ledger) {
        ledger.accounts["plan"].deposits["first"] = sum;
        return true;
    });
    cr_assert(written.has_value());
}

core::result<escrow::ledger> write(escrow::ledger_client& client, const platform::object_store& store,
                                   escrow::grant_holder& holder, escrow::amount draw,
                                   escrow::amount give_back)
{
    const escrow::entry_update update = holder.prepare(draw, give_back);
    const core::result<escrow::ledger> written = client.update(store, [&update](escrow::ledger& ledger) {
        escrow::apply_update(ledger.accounts["plan"], "node", update);
        return true;
    });
    if (written) {
        holder.commit(written->accounts.at("plan").holders.at("node"));
    }
    else if (written.error().run == core::verdict::not_run) {
        holder.abandon();
    }
    return written;
}

} // namespace

// Guards against granting a draw twice when it takes effect but its response is lost.
Test(ledger_client, write_whose_response_is_lost_is_applied_once)
{
    testing::fake_object_store fake;
    const platform::object_store store = fake.hooks();
    deposit(store, 1000);
    escrow::ledger_client client(key);
    escrow::grant_holder holder;
    fake.lose_answers = 1;
    cr_assert(!write(client, store, holder, 400, 0).has_value());
    cr_assert_eq(holder.free(), 0);
    const core::result<escrow::ledger> again = write(client, store, holder, 400, 0);
    cr_assert(again.has_value());
    cr_assert_eq(holder.free(), 400);
    cr_assert_eq(again->accounts.at("plan").available(), 600);
}

// Guards against reserving a returned amount when the return may have taken effect and its retry fails
// before it is sent.
Test(ledger_client, returned_amount_of_unknown_outcome_is_not_reserved)
{
    testing::fake_object_store fake;
    const platform::object_store store = fake.hooks();
    deposit(store, 1000);
    escrow::ledger_client client(key);
    escrow::grant_holder holder;
    cr_assert(write(client, store, holder, 400, 0).has_value());
    fake.lose_answers = 1;
    cr_assert(!write(client, store, holder, 0, 300).has_value());
    fake.is_down = true;
    cr_assert(!write(client, store, holder, 0, 300).has_value());
    cr_assert(!holder.reserve(200));
    cr_assert(holder.reserve(100));
    fake.is_down = false;
    const core::result<escrow::ledger> again = write(client, store, holder, 0, 0);
    cr_assert(again.has_value());
    cr_assert_eq(again->accounts.at("plan").available(), 900);
    cr_assert_eq(holder.free(), 0);
}

// Guards against granting more than the deposits when two holders draw from the same account.
Test(ledger_client, conflicting_draws_share_what_is_available)
{
    testing::fake_object_store fake;
    const platform::object_store store = fake.hooks();
    deposit(store, 500);
    escrow::ledger_client first(key);
    escrow::ledger_client second(key);
    cr_assert(first.read(store).has_value());
    cr_assert(second.read(store).has_value());
    escrow::grant_holder holder;
    cr_assert(write(first, store, holder, 400, 0).has_value());
    const core::result<escrow::ledger> other = second.update(store, [](escrow::ledger& ledger) {
        escrow::apply_update(ledger.accounts["plan"], "other", {.draw = 400, .sequence = 1});
        return true;
    });
    cr_assert(other.has_value());
    cr_assert_eq(other->accounts.at("plan").holders.at("other").granted, 100);
    cr_assert_eq(other->accounts.at("plan").available(), 0);
}

// Guards against a cached ledger that is passed off as the present one when a change has nothing to write.
Test(ledger_client, change_without_effect_returns_what_is_stored_now)
{
    testing::fake_object_store fake;
    const platform::object_store store = fake.hooks();
    escrow::ledger_client client(key);
    cr_assert(client.read(store).has_value());
    deposit(store, 1000);
    const core::result<escrow::ledger> seen = client.update(store, [](escrow::ledger&) { return false; });
    cr_assert(seen.has_value());
    cr_assert(seen->accounts.contains("plan"));
}
