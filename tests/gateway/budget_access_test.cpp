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

/** Nodes that share one ledger. Their writes complete at once, and the test controls the time. */
class budget_nodes {
public:
    budget_nodes(int count, amount prepaid)
    {
        for (int index = 0; index < count; ++index) {
            this->nodes.push_back(std::make_unique<node>(*this, "node-" + std::to_string(index)));
        }
        if (prepaid > 0) {
            this->deposit(prepaid);
        }
    }

    void deposit(amount prepaid)
    {
        const auto stored =
            gateway::store_deposits(this->store.hooks(), this->nodes.front()->grant_pool,
                                    {.totals = {{workspace, prepaid}}, .node = "none", .holder = "none.0"});
        cr_assert(stored.has_value());
    }

    /** Performs a node's pending ledger writes. If the node is disconnected, they fail. */
    void tick(int index)
    {
        node& target = *this->nodes.at(static_cast<std::size_t>(index));
        for (const budget::shard_update& update : target.grant_pool.collect_updates(this->now)) {
            if (target.is_disconnected) {
                target.grant_pool.finish_update(update,
                                                core::error{.code = core::error_code::platform_unavailable});
                continue;
            }
            const core::result<escrow::ledger> written =
                budget::execute_update(target.client, this->store.hooks(), update);
            cr_assert(written.has_value());
            target.grant_pool.finish_update(update, *written);
        }
        target.access.check(this->now);
    }

    /** Reserves budget at a node whose ledger writes do not complete. Returns the outcome after 300 ms. */
    std::optional<core::result<gateway::budget_reservation>> reserve_without_ledger(int index, amount tokens)
    {
        auto outcome = std::make_shared<std::optional<core::result<gateway::budget_reservation>>>();
        this->access(index).reserve(
            workspace, tokens, this->now, this->now + 1s,
            [outcome](core::result<gateway::budget_reservation> held) { *outcome = std::move(held); });
        this->now += 300ms;
        this->access(index).check(this->now);
        return *outcome;
    }

    /** Reserves budget at a node and lets it draw until there is an outcome. Returns the outcome. */
    core::result<gateway::budget_reservation> reserve(int index, amount tokens)
    {
        auto outcome = std::make_shared<std::optional<core::result<gateway::budget_reservation>>>();
        this->access(index).reserve(
            workspace, tokens, this->now, this->now + 1s,
            [outcome](core::result<gateway::budget_reservation> held) { *outcome = std::move(held); });
        for (int step = 0; step < 20 && !outcome->has_value(); ++step) {
            this->now += 100ms;
            this->tick(index);
        }
        cr_assert(outcome->has_value(), "a request for budget got no outcome within 20 steps");
        return **outcome;
    }

    gateway::budget_access& access(int index)
    {
        return this->nodes.at(static_cast<std::size_t>(index))->access;
    }

    /** From now on a node cannot reach the ledger. */
    void disconnect(int index)
    {
        this->nodes.at(static_cast<std::size_t>(index))->is_disconnected = true;
    }

    /** From now on a node is not a ledger writer, so it borrows before it draws. */
    void set_borrower(int index)
    {
        this->nodes.at(static_cast<std::size_t>(index))->is_ledger_writer = false;
    }

    /** From now on no node answers loan calls. */
    void silence_lenders()
    {
        this->are_lenders_silent = true;
    }

    /** From now on the reports of borrowers are lost. */
    void lose_reports()
    {
        this->are_reports_lost = true;
    }

    /** Advances the time; nodes send reports, write to the ledger and expire loans. */
    void advance(std::chrono::seconds time)
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
        const auto found = this->store.peek(budget::grant_pool::object_key(0));
        return escrow::ledger_from_json(found->value)->accounts.at(workspace);
    }

    testing::fake_object_store store;
    core::steady_time now{1h};

private:
    struct node {
        node(budget_nodes& owner, const std::string& name)
            : grant_pool({.holder = name + ".0",
                          .draw = {.horizon = 10s,
                                   .draw_ahead_factor = 4,
                                   .counts_reservations = true,
                                   .minimum_draw = 1000,
                                   .settle_interval = 1s},
                          .time = {.now = [] { return core::wall_time(1h); },
                                   .steady =
                                       [&owner] {
                                           return owner.now;
                                       }}}),
              client(budget::grant_pool::object_key(0)),
              access(this->grant_pool,
                     {.can_draw = [this] { return !this->is_disconnected; },
                      .is_ledger_writer = [this] { return this->is_ledger_writer; },
                      .borrow = [this, &owner](const std::string& plan, std::int64_t tokens,
                                               auto on_loan) { owner.borrow(*this, plan, tokens, on_loan); },
                      .report = [this, &owner](const gateway::outgoing_loan_report& report,
                                               auto) { owner.deliver(*this, report); },
                      .time = {.now = [] { return core::wall_time(1h); },
                               .steady =
                                   [&owner] {
                                       return owner.now;
                                   }}}),
              id(name)
        {
        }

        bool is_disconnected = false;
        bool is_ledger_writer = true;
        budget::grant_pool grant_pool;
        escrow::ledger_client client;
        gateway::budget_access access;
        std::string id;
    };

    void deliver(const node& borrower, const gateway::outgoing_loan_report& report)
    {
        for (const std::unique_ptr<node>& lender : this->nodes) {
            if (lender->id == report.lender.token && !this->are_reports_lost) {
                lender->access.apply_report({.borrower = borrower.id, .uses = report.uses});
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

// Guards against requests that are refused in the first moments of a cut from the object API: the node does
// not know of the cut yet, but another node holds budget.
Test(budget_access, late_draw_falls_back_to_a_loan)
{
    budget_nodes fleet(2, 100000);
    cr_assert(fleet.reserve(1, 100).has_value());
    const auto outcome = fleet.reserve_without_ledger(0, 100);
    cr_assert(outcome.has_value() && outcome->has_value());
    cr_assert_eq((*outcome)->lender, "node-1");
}

// Guards against a plan that is refused as missing for as long as requests keep coming, because its first
// request came before its deposit.
Test(budget_access, plan_is_served_whose_requests_come_before_its_deposit)
{
    budget_nodes nodes(1, 0);
    for (int request = 0; request < 30; ++request) {
        cr_assert_not(nodes.reserve(0, 100).has_value());
    }
    nodes.deposit(100000);
    int served = 0;
    for (int request = 0; request < 300; ++request) {
        nodes.now += 18ms;
        served += nodes.reserve(0, 100).has_value() ? 1 : 0;
    }
    cr_assert_gt(served, 150, "%d of 300 requests were served", served);
}

// Guards against a plan without an account that uses up the calls to the ledger of all plans.
Test(budget_access, missing_plan_costs_few_ledger_calls)
{
    budget_nodes nodes(1, 0);
    const std::uint64_t before = nodes.store.calls;
    const core::steady_time end = nodes.now + 10s;
    while (nodes.now < end) {
        nodes.now += 10ms;
        (void)nodes.reserve(0, 100);
        nodes.tick(0);
    }
    cr_assert_leq(nodes.store.calls - before, 24, "a node may make 2.4 calls a second in the long run");
}

// Guards against refusals at a node that cannot reach the ledger while another node can draw.
Test(budget_access, disconnected_node_borrows)
{
    budget_nodes nodes(2, 100000);
    nodes.disconnect(0);
    const core::result<gateway::budget_reservation> held = nodes.reserve(0, 5000);
    cr_assert(held.has_value());
    cr_assert_not(held->grant.has_value());
    nodes.access(0).settle(*held, 2000);
    const core::result<gateway::budget_reservation> second = nodes.reserve(0, 3000);
    cr_assert(second.has_value(), "the unused tokens of a loan must serve the next request");
}

// Guards against overspend through loans: even if every lent token is used, the use must not exceed the
// prepaid total.
Test(budget_access, loans_count_against_the_budget)
{
    constexpr amount prepaid = 50000;
    constexpr amount request_size = 3000;
    budget_nodes nodes(2, prepaid);
    nodes.disconnect(0);
    amount used = 0;
    bool is_exhausted = false;
    for (int request = 0; request < 40 && !is_exhausted; ++request) {
        const core::result<gateway::budget_reservation> held = nodes.reserve(request % 2, request_size);
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

// Guards against ledger writes by nodes that are not ledger writers, since write conflicts grow with
// the number of writers: a borrower has no entry in the ledger as long as a lender answers.
Test(budget_access, borrower_does_not_draw)
{
    budget_nodes nodes(2, 100000);
    nodes.set_borrower(0);
    cr_assert(nodes.reserve(0, 5000).has_value());
    nodes.advance(3s);
    cr_assert_not(nodes.account().holders.contains("node-0.0"));
    cr_assert(nodes.account().holders.contains("node-1.0"));
}

// Guards against refusals of all requests after the loss of all ledger writers.
Test(budget_access, borrower_without_lender_draws)
{
    budget_nodes nodes(2, 100000);
    nodes.set_borrower(0);
    nodes.silence_lenders();
    const core::result<gateway::budget_reservation> held = nodes.reserve(0, 5000);
    cr_assert(held.has_value());
    cr_assert(held->grant.has_value());
}

// Guards against lenders that never learn of the use of their loans, and against unused tokens that
// stay with idle borrowers.
Test(budget_access, unused_loans_are_returned)
{
    constexpr amount prepaid = 100000;
    budget_nodes nodes(2, prepaid);
    nodes.set_borrower(0);
    const core::result<gateway::budget_reservation> held = nodes.reserve(0, 5000);
    cr_assert(held.has_value());
    nodes.access(0).settle(*held, 1200);
    nodes.advance(5s);
    cr_assert_eq(nodes.account().spent(), 1200);
}

// Guards against tokens that are spent twice after a lost report: loans without a report count as spent.
Test(budget_access, loans_without_a_report_are_spent)
{
    budget_nodes nodes(2, 100000);
    nodes.set_borrower(0);
    nodes.lose_reports();
    const core::result<gateway::budget_reservation> held = nodes.reserve(0, 5000);
    cr_assert(held.has_value());
    nodes.access(0).settle(*held, 1200);
    nodes.advance(20s);
    cr_assert_eq(nodes.account().spent(), 0, "a loan must stay open as long as a stream may last");
    nodes.advance(20s);
    cr_assert_eq(nodes.account().spent(), 5000);
}

// Guards against a stopping lender that returns granted tokens to the ledger while borrowers still
// spend them.
Test(budget_access, stopping_lender_counts_open_loans_as_spent)
{
    budget_nodes nodes(2, 100000);
    nodes.set_borrower(0);
    const core::result<gateway::budget_reservation> held = nodes.reserve(0, 5000);
    cr_assert(held.has_value());
    nodes.access(1).close();
    nodes.access(0).settle(*held, 1200);
    nodes.advance(3s);
    cr_assert_eq(nodes.account().spent(), 5000);
}

// Guards against grants that are sized for zero demand until the first streams end, seconds after their
// start.
Test(budget_access, open_reservations_show_demand)
{
    budget_nodes nodes(1, 1000000);
    const core::result<gateway::budget_reservation> first = nodes.reserve(0, 5000);
    nodes.advance(1s);
    const core::result<gateway::budget_reservation> second = nodes.reserve(0, 5000);
    cr_assert(first.has_value() && second.has_value());
    nodes.advance(2s);
    cr_assert_gt(nodes.account().holders.at("node-0.0").demand_per_second, 0);
}

// Guards against waits for a draw that cannot succeed: a node that can reach neither the ledger nor a
// lender refuses at once.
Test(budget_access, disconnected_node_without_lender_refuses_at_once)
{
    budget::grant_pool grant_pool({.holder = "alone.0"});
    gateway::budget_access alone(
        grant_pool,
        {.can_draw = [] { return false; },
         .is_ledger_writer = [] { return true; },
         .borrow = [](const std::string&, std::int64_t,
                      auto on_loan) { on_loan(core::failure(core::error_code::no_upstream, "no lender")); },
         .report =
             [](const gateway::outgoing_loan_report&, auto) {
             }});
    const core::steady_time now{1h};
    std::optional<core::error_code> refusal;
    alone.reserve(workspace, 5000, now, now + 1s, [&refusal](core::result<gateway::budget_reservation> held) {
        refusal = held ? std::nullopt : std::optional(held.error().code);
    });
    cr_assert(refusal == core::error_code::budget_unavailable);
    cr_assert_not(alone.is_waiting());
}

// Guards against a top-up that is lost, or undone by a node with an older configuration.
Test(prepaid_deposits, totals_only_rise)
{
    escrow::ledger ledger;
    cr_assert(gateway::raise_deposits(ledger, {{workspace, 100}}));
    cr_assert(gateway::raise_deposits(ledger, {{workspace, 150}}));
    cr_assert_not(gateway::raise_deposits(ledger, {{workspace, 100}}));
    cr_assert_eq(ledger.accounts.at(workspace).limit(), 150);
}

// Guards against grants of another node's ended process that stay outstanding, and against a live process of
// that node that loses its grant.
Test(prepaid_deposits, grants_of_ended_processes_are_written_off)
{
    escrow::account account;
    account.deposits["configuration"] = 1000;
    escrow::apply_update(account, "node-2.a", {.draw = 300, .sequence = 1});
    escrow::apply_update(account, "node-2.a.1", {.draw = 50, .sequence = 1});
    escrow::apply_update(account, "node-2.b", {.draw = 100, .sequence = 1});
    cr_assert_eq(gateway::close_ended(account, {"node-2.a"}, 0), 350);
    cr_assert(account.holders.contains("node-2.b"));
    cr_assert_eq(account.available(), 550);
    cr_assert_eq(gateway::close_ended(account, {"node-2.a"}, 0), 0);
}

// Guards against grants of an ended process that still count as demand or are spent a second time.
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
