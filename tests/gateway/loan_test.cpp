#include "gateway/budget/borrowed_budget.h"
#include "gateway/budget/ledger_writers.h"
#include "gateway/budget/loan_messages.h"

#include <criterion/criterion.h>
#include <set>

namespace {

using namespace samphireway;

const std::string workspace = "rim";

gateway::loan loan_from(const std::string& process, std::int64_t tokens)
{
    return {.lender = {.id = "node-1", .address = "10.0.0.1", .port = 7200, .token = process},
            .tokens = tokens};
}

std::vector<gateway::member> make_nodes(int count)
{
    std::vector<gateway::member> nodes;
    for (int index = 0; index < count; ++index) {
        nodes.push_back({.id = "node-" + std::to_string(index), .address = {}, .port = 0, .token = {}});
    }
    return nodes;
}

std::set<std::string> writer_ids(const std::vector<gateway::member>& nodes, std::size_t maximum)
{
    std::set<std::string> ids;
    for (const gateway::member& writer : gateway::choose_ledger_writers(nodes, maximum)) {
        ids.insert(writer.id);
    }
    return ids;
}

} // namespace

// Guards against nodes that choose different ledger writers, and against a choice that changes widely
// when a node joins.
Test(ledger_writers, choice_is_the_same_everywhere_and_stable)
{
    std::vector<gateway::member> nodes = make_nodes(80);
    const std::set<std::string> before = writer_ids(nodes, 8);
    cr_assert_eq(before.size(), 8U);
    std::reverse(nodes.begin(), nodes.end());
    cr_assert(writer_ids(nodes, 8) == before);
    nodes.push_back({.id = "joined", .address = {}, .port = 0, .token = {}});
    int kept = 0;
    for (const std::string& id : writer_ids(nodes, 8)) {
        kept += before.contains(id) ? 1 : 0;
    }
    cr_assert_geq(kept, 7);
}

// Guards against nodes that wait for lenders although the fleet is small or not known yet.
Test(ledger_writers, small_fleets_and_unknown_fleets_draw)
{
    gateway::member_list known{.members = make_nodes(5), .ledger_writers = {}};
    known.ledger_writers = gateway::choose_ledger_writers(known.members, 8);
    cr_assert(gateway::is_ledger_writer(&known, "node-4"));
    cr_assert(gateway::is_ledger_writer(nullptr, "node-4"));
    const gateway::member_list large{.members = make_nodes(9),
                                     .ledger_writers = gateway::choose_ledger_writers(make_nodes(9), 8)};
    int writers = 0;
    for (const gateway::member& node : large.members) {
        writers += gateway::is_ledger_writer(&large, node.id) ? 1 : 0;
    }
    cr_assert_eq(writers, 8);
}

// Guards against reports that are applied by a later process of the lending node, which has no record
// of the loan.
Test(borrowed_budget, reports_name_the_process_that_lent)
{
    gateway::borrowed_budget borrowed;
    borrowed.add(workspace, loan_from("first", 100));
    borrowed.add(workspace, loan_from("second", 50));
    const std::optional<std::string> reserved_from = borrowed.reserve(workspace, 80);
    cr_assert(reserved_from == "first");
    borrowed.settle(workspace, *reserved_from, 80, 30);
    std::map<std::string, gateway::loan_use> uses;
    for (const gateway::outgoing_loan_report& report : borrowed.collect_reports(true)) {
        cr_assert_eq(report.uses.size(), 1U);
        uses[report.lender.token] = report.uses.front();
    }
    cr_assert_eq(uses.at("first").used, 30);
    cr_assert_eq(uses.at("first").returned, 70);
    cr_assert_eq(uses.at("second").returned, 50);
    cr_assert(borrowed.collect_reports(true).empty());
}

// Guards against a loan call for each request although unused tokens of the last loan suffice, and
// against unused tokens that stay with an idle borrower.
Test(borrowed_budget, unused_tokens_are_kept_for_one_interval)
{
    gateway::borrowed_budget borrowed;
    borrowed.add(workspace, loan_from("lender", 100));
    const std::optional<std::string> reserved_from = borrowed.reserve(workspace, 100);
    borrowed.settle(workspace, *reserved_from, 100, 40);
    const std::vector<gateway::outgoing_loan_report> first = borrowed.collect_reports(false);
    cr_assert_eq(first.size(), 1U);
    cr_assert_eq(first.front().uses.front().used, 40);
    cr_assert_eq(first.front().uses.front().returned, 0);
    const std::vector<gateway::outgoing_loan_report> second = borrowed.collect_reports(false);
    cr_assert_eq(second.size(), 1U);
    cr_assert_eq(second.front().uses.front().returned, 60);
    cr_assert_not(borrowed.reserve(workspace, 1).has_value());
}

// Guards against tokens that are lost with a report that was never sent.
Test(borrowed_budget, unsent_report_is_restored)
{
    gateway::borrowed_budget borrowed;
    borrowed.add(workspace, loan_from("lender", 100));
    const std::vector<gateway::outgoing_loan_report> due = borrowed.collect_reports(true);
    cr_assert_eq(due.size(), 1U);
    cr_assert_not(borrowed.reserve(workspace, 1).has_value());
    borrowed.restore(due.front());
    cr_assert(borrowed.reserve(workspace, 100).has_value());
}

// Guards against loan calls that a lender would misinterpret.
Test(loan_messages, malformed_calls_are_refused)
{
    const core::result<gateway::loan_call> call = gateway::parse_loan_call(
        gateway::make_loan_call({.borrower = "node-1.a", .workspace = workspace, .tokens = 42}));
    cr_assert(call.has_value());
    cr_assert_eq(call->borrower, "node-1.a");
    cr_assert_eq(call->workspace, workspace);
    cr_assert_eq(call->tokens, 42);
    for (const std::string body :
         {"", "[]", R"({"workspace":"rim","tokens":5})", R"({"borrower":"n","workspace":"rim"})",
          R"({"borrower":"n","workspace":"rim","tokens":-1})",
          R"({"borrower":"n","workspace":"","tokens":5})",
          R"({"borrower":"n","workspace":"rim","tokens":1e30})"}) {
        cr_assert_not(gateway::parse_loan_call(body).has_value(), "%s", body.c_str());
    }
}

// Guards against malformed reports that would return tokens that were never lent.
Test(loan_messages, malformed_reports_are_refused)
{
    const core::result<gateway::loan_report> report = gateway::parse_loan_report(gateway::make_loan_report(
        {.borrower = "node-1.a", .uses = {{.workspace = workspace, .used = 3, .returned = 4}}}));
    cr_assert(report.has_value());
    cr_assert_eq(report->uses.size(), 1U);
    cr_assert_eq(report->uses.front().used, 3);
    cr_assert_eq(report->uses.front().returned, 4);
    for (const std::string body :
         {"", "{}", R"({"uses":[]})", R"({"borrower":"n","uses":{}})", R"({"borrower":"n","uses":[1]})",
          R"({"borrower":"n","uses":[{"workspace":"rim","used":-1,"returned":0}]})",
          R"({"borrower":"n","uses":[{"workspace":"rim","used":0,"returned":-5}]})",
          R"({"borrower":"n","uses":[{"workspace":"","used":0,"returned":5}]})"}) {
        cr_assert_not(gateway::parse_loan_report(body).has_value(), "%s", body.c_str());
    }
}
