#include "gateway/budget/budget_access.h"
#include "gateway/budget/loan_messages.h"
#include "gateway/control/prepaid_deposits.h"
#include "support/fake_object_store.h"

#include <criterion/criterion.h>
#include <memory>

namespace {

using namespace samphireway;
using namespace std::chrono_literals;
using escrow::amount;

const std::string workspace = "rim";

/** Nodes that share one ledger; writes are made at once, on the test's own clock. */
class budget_nodes {
public:
    budget_nodes(int count, amount prepaid)
    {
        for (int index = 0; index < count; ++index) {
            this->nodes.push_back(std::make_unique<node>(*this, "node-" + std::to_string(index)));
        }
        const auto stored =
            gateway::store_deposits(this->store.hooks(), this->nodes.front()->purse,
                                    {.totals = {{workspace, prepaid}}, .node = "none", .holder = "none.0"});
        cr_assert(stored.has_value());
    }

    /** Lets a node write what is due, unless it is cut off; returns whether it could. */
    void tick(int index)
    {
        node& target = *this->nodes.at(static_cast<std::size_t>(index));
        for (const budget::shard_update& update : target.purse.collect(this->now)) {
            if (target.is_cut) {
                target.purse.finish(update, core::error{.code = core::error_code::platform_unavailable});
                continue;
            }
            const core::result<escrow::ledger> written =
                budget::perform(target.client, this->store.hooks(), update);
            cr_assert(written.has_value());
            target.purse.finish(update, *written);
        }
        target.access.check(this->now);
    }

    /** Asks a node for budget and lets it draw; returns what it got. */
    core::result<gateway::held_budget> reserve(int index, amount tokens)
    {
        auto outcome = std::make_shared<std::optional<core::result<gateway::held_budget>>>();
        this->access(index).reserve(
            workspace, tokens, this->now, this->now + 1s,
            [outcome](core::result<gateway::held_budget> held) { *outcome = std::move(held); });
        for (int step = 0; step < 20 && !outcome->has_value(); ++step) {
            this->now += 100ms;
            this->tick(index);
        }
        cr_assert(outcome->has_value(), "a request for budget was left without an outcome");
        return **outcome;
    }

    gateway::budget_access& access(int index)
    {
        return this->nodes.at(static_cast<std::size_t>(index))->access;
    }

    void cut(int index)
    {
        this->nodes.at(static_cast<std::size_t>(index))->is_cut = true;
    }

    /** From now on a node borrows before it draws. */
    void set_borrower(int index)
    {
        this->nodes.at(static_cast<std::size_t>(index))->is_ledger_writer = false;
    }

    /** From now on no node answers a call for a loan. */
    void silence_lenders()
    {
        this->are_lenders_silent = true;
    }

    /** From now on no report of a borrower arrives. */
    void lose_reports()
    {
        this->are_reports_lost = true;
    }

    /** Lets time pass; nodes report, write what is due and end loans. */
    void pass(std::chrono::seconds time)
    {
        const core::steady_time end = this->now + time;
        while (this->now < end) {
            this->now += 500ms;
            for (std::size_t index = 0; index < this->nodes.size(); ++index) {
                this->nodes[index]->access.sweep(this->now);
                this->tick(static_cast<int>(index));
            }
        }
    }

    escrow::account account()
    {
        const auto found = this->store.peek(budget::purse::object_key(0));
        return escrow::ledger_from_json(found->value)->accounts.at(workspace);
    }

    testing::fake_object_store store;
    core::steady_time now{1h};

private:
    struct node {
        node(budget_nodes& all, const std::string& name)
            : purse({.holder = name + ".0",
                     .draw = {.horizon = 10s,
                              .drawn_ahead = 4,
                              .counts_reservations = true,
                              .minimum_draw = 1000,
                              .settle_interval = 1s},
                     .time = {.now = [] { return core::wall_time(1h); },
                              .steady =
                                  [&all] {
                                      return all.now;
                                  }}}),
              client(budget::purse::object_key(0)),
              access(this->purse,
                     {.can_draw = [this] { return !this->is_cut; },
                      .is_ledger_writer = [this] { return this->is_ledger_writer; },
                      .borrow = [this, &all](const std::string& plan, std::int64_t tokens,
                                             auto on_loan) { all.borrow(*this, plan, tokens, on_loan); },
                      .report = [this, &all](const gateway::due_report& report,
                                             auto) { all.deliver(*this, report); },
                      .time = {.now = [] { return core::wall_time(1h); },
                               .steady =
                                   [&all] {
                                       return all.now;
                                   }}}),
              id(name)
        {
        }

        bool is_cut = false;
        bool is_ledger_writer = true;
        budget::purse purse;
        escrow::ledger_client client;
        gateway::budget_access access;
        std::string id;
    };

    void deliver(const node& borrower, const gateway::due_report& report)
    {
        for (const std::unique_ptr<node>& lender : this->nodes) {
            if (lender->id == report.lender.token && !this->are_reports_lost) {
                lender->access.take_report({.borrower = borrower.id, .uses = report.uses});
            }
        }
    }

    void borrow(const node& borrower, const std::string& name, std::int64_t tokens,
                const std::function<void(core::result<gateway::loan>)>& on_loan)
    {
        if (this->are_lenders_silent) {
            on_loan(core::failure(core::error_code::no_upstream, "no lender answers"));
            return;
        }
        for (std::size_t index = 0; index < this->nodes.size(); ++index) {
            if (this->nodes[index].get() == &borrower) {
                continue;
            }
            const std::string lender = this->nodes[index]->id;
            this->nodes[index]->access.lend(
                {.borrower = borrower.id, .workspace = name, .tokens = tokens}, this->now,
                [on_loan, lender, tokens](const core::result<void>& lent) {
                    if (!lent) {
                        on_loan(tl::unexpected(lent.error()));
                        return;
                    }
                    on_loan(gateway::loan{.lender = {.id = lender, .address = {}, .port = 0, .token = lender},
                                          .tokens = tokens});
                });
            for (int step = 0; step < 2; ++step) {
                this->now += 100ms;
                this->tick(static_cast<int>(index));
            }
            return;
        }
    }

    bool are_lenders_silent = false;
    bool are_reports_lost = false;
    std::vector<std::unique_ptr<node>> nodes;
};

} // namespace

// Guards against refusals at a node that is cut from the store while another one can draw.
Test(budget_access, cut_node_borrows)
{
    budget_nodes nodes(2, 100000);
    nodes.cut(0);
    const core::result<gateway::held_budget> held = nodes.reserve(0, 5000);
    cr_assert(held.has_value());
    cr_assert_not(held->grant.has_value());
    nodes.access(0).settle(*held, 2000);
    const core::result<gateway::held_budget> rest = nodes.reserve(0, 3000);
    cr_assert(rest.has_value(), "what is left of a loan must serve the next request");
}

// Guards against overspend by loans: with every lent token used, no more than the prepaid total is given out.
Test(budget_access, loans_count_against_the_budget)
{
    constexpr amount prepaid = 50000;
    constexpr amount request_size = 3000;
    budget_nodes nodes(2, prepaid);
    nodes.cut(0);
    amount used = 0;
    bool is_exhausted = false;
    for (int request = 0; request < 40 && !is_exhausted; ++request) {
        const core::result<gateway::held_budget> held = nodes.reserve(request % 2, request_size);
        if (held) {
            nodes.access(request % 2).settle(*held, request_size);
            used += request_size;
        }
        is_exhausted = !held && request % 2 == 1;
    }
    cr_assert_leq(used, prepaid);
    cr_assert_geq(used, prepaid - request_size - request_size);
    cr_assert(is_exhausted);
}

// Guards against writers beyond those that draw, whose conflicts grow with the fleet: a node that borrows
// leaves no entry in the ledger while a lender answers.
Test(budget_access, borrower_does_not_draw)
{
    budget_nodes nodes(2, 100000);
    nodes.set_borrower(0);
    cr_assert(nodes.reserve(0, 5000).has_value());
    nodes.pass(3s);
    cr_assert_not(nodes.account().holders.contains("node-0.0"));
    cr_assert(nodes.account().holders.contains("node-1.0"));
}

// Guards against an outage after the loss of all nodes that draw.
Test(budget_access, borrower_without_lender_draws)
{
    budget_nodes nodes(2, 100000);
    nodes.set_borrower(0);
    nodes.silence_lenders();
    const core::result<gateway::held_budget> held = nodes.reserve(0, 5000);
    cr_assert(held.has_value());
    cr_assert(held->grant.has_value());
}

// Guards against lenders that do not learn what was used, and against budget that stays with idle borrowers.
Test(budget_access, unused_loans_are_returned)
{
    constexpr amount prepaid = 100000;
    budget_nodes nodes(2, prepaid);
    nodes.set_borrower(0);
    const core::result<gateway::held_budget> held = nodes.reserve(0, 5000);
    cr_assert(held.has_value());
    nodes.access(0).settle(*held, 1200);
    nodes.pass(5s);
    cr_assert_eq(nodes.account().spent(), 1200);
}

// Guards against a second use of loans whose reports are lost: they count as spent.
Test(budget_access, loans_without_a_report_are_spent)
{
    budget_nodes nodes(2, 100000);
    nodes.set_borrower(0);
    nodes.lose_reports();
    const core::result<gateway::held_budget> held = nodes.reserve(0, 5000);
    cr_assert(held.has_value());
    nodes.access(0).settle(*held, 1200);
    nodes.pass(20s);
    cr_assert_eq(nodes.account().spent(), 0, "a loan must stay open as long as a stream may last");
    nodes.pass(20s);
    cr_assert_eq(nodes.account().spent(), 5000);
}

// Guards against grants that a stopping lender gives back while others still spend them.
Test(budget_access, stopping_lender_counts_open_loans_as_spent)
{
    budget_nodes nodes(2, 100000);
    nodes.set_borrower(0);
    const core::result<gateway::held_budget> held = nodes.reserve(0, 5000);
    cr_assert(held.has_value());
    nodes.access(1).close();
    nodes.access(0).settle(*held, 1200);
    nodes.pass(3s);
    cr_assert_eq(nodes.account().spent(), 5000);
}

// Guards against grants that are sized for no demand until the first streams end, seconds after they begin.
Test(budget_access, open_reservations_show_demand)
{
    budget_nodes nodes(1, 1000000);
    const core::result<gateway::held_budget> first = nodes.reserve(0, 5000);
    nodes.pass(1s);
    const core::result<gateway::held_budget> second = nodes.reserve(0, 5000);
    cr_assert(first.has_value() && second.has_value());
    nodes.pass(2s);
    cr_assert_gt(nodes.account().holders.at("node-0.0").demand_per_second, 0);
}

// Guards against a wait for a draw that cannot come: a node without contact and without lenders refuses at
// once.
Test(budget_access, refusal_without_contact_is_immediate)
{
    budget::purse purse({.holder = "alone.0"});
    gateway::budget_access alone(
        purse,
        {.can_draw = [] { return false; },
         .is_ledger_writer = [] { return true; },
         .borrow = [](const std::string&, std::int64_t,
                      auto on_loan) { on_loan(core::failure(core::error_code::no_upstream, "no lender")); },
         .report =
             [](const gateway::due_report&, auto) {
             }});
    const core::steady_time now{1h};
    std::optional<core::error_code> refusal;
    alone.reserve(workspace, 5000, now, now + 1s, [&refusal](core::result<gateway::held_budget> held) {
        refusal = held ? std::nullopt : std::optional(held.error().code);
    });
    cr_assert(refusal == core::error_code::budget_unavailable);
    cr_assert_not(alone.is_waiting());
}

// Guards against a top-up that a node with an older configuration takes back, and against one that is lost.
Test(prepaid_deposits, totals_only_rise)
{
    escrow::ledger ledger;
    cr_assert(gateway::raise_deposits(ledger, {{workspace, 100}}));
    cr_assert(gateway::raise_deposits(ledger, {{workspace, 150}}));
    cr_assert_not(gateway::raise_deposits(ledger, {{workspace, 100}}));
    cr_assert_eq(ledger.accounts.at(workspace).limit(), 150);
}

// Guards against grants of a dead process that count as living demand, and against their second use.
Test(prepaid_deposits, grants_of_earlier_processes_are_written_off)
{
    escrow::account account;
    account.deposits["configuration"] = 1000;
    escrow::apply_update(account, "node-1.a", {.draw = 300, .sequence = 1});
    escrow::apply_update(account, "node-1.b", {.draw = 100, .sequence = 1});
    escrow::apply_update(account, "node-10.a", {.draw = 200, .sequence = 1});
    cr_assert_eq(gateway::close_predecessors(account, "node-1", "node-1.b", 0), 300);
    cr_assert_not(account.holders.contains("node-1.a"));
    cr_assert(account.holders.contains("node-1.b"));
    cr_assert(account.holders.contains("node-10.a"));
    cr_assert_eq(account.available(), 400);
    cr_assert_eq(gateway::close_predecessors(account, "node-1", "node-1.b", 0), 0);
}
