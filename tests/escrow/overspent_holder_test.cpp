#include "escrow/ledger/account_changes.h"
#include "gateway/control/prepaid_deposits.h"

#include <criterion/criterion.h>

namespace {

using namespace samphireway;

/** An account that has lost the grants of an ended process, but not its use. */
escrow::account make_account()
{
    escrow::account result;
    result.deposits["d"] = 1000;
    result.holders["node-1.a"] = {.granted = 100, .spent = 400, .sequence = 7};
    result.holders["node-2.a"] = {.granted = 200, .spent = 50, .sequence = 3};
    return result;
}

} // namespace

// Guards against tokens that are given out twice: those that one holder has overspent are not free for
// others.
Test(overspent_holder, overspending_frees_no_tokens)
{
    cr_assert_eq(make_account().available(), 1000 - 400 - 200);
}

// Guards against an entry that can never be closed, and is tried and logged in each round.
Test(overspent_holder, ended_process_is_closed_with_its_use_counted)
{
    escrow::account account = make_account();
    const escrow::amount before = account.available();
    cr_assert_eq(gateway::close_ended(account, {"node-1.a"}, 0), 0);
    cr_assert_not(account.holders.contains("node-1.a"));
    cr_assert_eq(account.spent(), 450);
    cr_assert_eq(account.available(), before);
}

// Guards against a holder that cannot end, since its ledger entry shows more use than grants.
Test(overspent_holder, final_update_ends_the_entry)
{
    escrow::account account = make_account();
    escrow::apply_update(account, "node-1.a", {.spent_total = 420, .sequence = 8, .is_final = true});
    cr_assert_not(account.holders.contains("node-1.a"));
    cr_assert_eq(account.spent(), 470);
}
