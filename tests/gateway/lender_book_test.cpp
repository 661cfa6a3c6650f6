#include "gateway/budget/lender_book.h"
#include "gateway/relay/contact_book.h"

#include <criterion/criterion.h>

namespace {

using namespace samphireway;
using namespace std::chrono_literals;

constexpr core::steady_time start{1h};
const std::string workspace = "rim";

/** A fleet of 20 nodes, of which the first four draw from the ledger. */
gateway::member_list make_fleet()
{
    gateway::member_list fleet;
    for (int index = 0; index < 20; ++index) {
        fleet.members.push_back({.id = "n" + std::to_string(index), .token = "t"});
    }
    fleet.ledger_writers.assign(fleet.members.begin(), fleet.members.begin() + 4);
    return fleet;
}

bool is_writer(const gateway::member& node)
{
    return node.id == "n0" || node.id == "n1" || node.id == "n2" || node.id == "n3";
}

} // namespace

// Guards against requests that are refused although writers hold grants, because in a cut of the whole fleet
// from the object API nodes are asked that hold none.
Test(lender_book, writers_are_asked_even_when_all_are_cut_off)
{
    const gateway::member_list fleet = make_fleet();
    gateway::lender_book book("n9");
    for (const gateway::member& writer : fleet.ledger_writers) {
        book.record_contact(writer.id, false, start);
    }
    const gateway::lender_choice choice = book.choose(fleet, {"n7"}, workspace, start);
    cr_assert_eq(choice.lenders.size(), 4U);
    cr_assert(std::all_of(choice.lenders.begin(), choice.lenders.begin() + 3, is_writer));
    cr_assert_eq(choice.lenders.back().id, "n7");
}

// Guards against requests that are refused although one node can still draw: once the writers' grants are
// used, that node is asked, and no time is lost on the writers.
Test(lender_book, connected_node_is_asked_when_writers_are_short)
{
    const gateway::member_list fleet = make_fleet();
    gateway::lender_book book("n9");
    for (const gateway::member& writer : fleet.ledger_writers) {
        book.record_refusal(writer.id, workspace, start);
    }
    gateway::lender_choice choice = book.choose(fleet, {"n7"}, workspace, start + 100ms);
    cr_assert_eq(choice.lenders.size(), 1U);
    cr_assert_eq(choice.lenders.front().id, "n7");
    cr_assert(choice.has_recent_refusal);
    choice = book.choose(fleet, {"n7"}, "other", start + 100ms);
    cr_assert_eq(choice.lenders.size(), 4U, "a refusal holds for one workspace");
    choice = book.choose(fleet, {"n7"}, workspace, start + 400ms);
    cr_assert_eq(choice.lenders.size(), 4U, "a refusal holds for a short time");
}

// Guards against a node that is asked again and again although it has lost its contact.
Test(lender_book, node_without_contact_is_not_asked)
{
    const gateway::member_list fleet = make_fleet();
    gateway::lender_book book("n9");
    book.record_contact("n7", false, start);
    const auto choice = book.choose(fleet, {"n7"}, workspace, start);
    cr_assert(std::all_of(choice.lenders.begin(), choice.lenders.end(), is_writer));
    book.record_contact("n7", true, start);
    cr_assert_eq(book.choose(fleet, {"n7"}, workspace, start).lenders.back().id, "n7");
}

// Guards against writers with a ledger that are asked after writers without one, and against a silent node or
// the node itself being asked.
Test(lender_book, writers_in_contact_come_first_and_silent_ones_rest)
{
    const gateway::member_list fleet = make_fleet();
    gateway::lender_book book("n0");
    book.record_contact("n1", false, start);
    book.record_silence("n2", start);
    const gateway::lender_choice choice = book.choose(fleet, {}, workspace, start);
    cr_assert_eq(choice.lenders.size(), 2U);
    cr_assert_eq(choice.lenders[0].id, "n3");
    cr_assert_eq(choice.lenders[1].id, "n1");
    cr_assert_eq(book.choose(fleet, {}, workspace, start + 2s).lenders.size(), 3U);
}

// Guards against nodes that count as connected long after they were, and against unbounded memory.
Test(contact_book, entries_expire_and_are_bounded)
{
    gateway::contact_book book;
    for (int index = 0; index < 5000; ++index) {
        book.record("n" + std::to_string(index), start);
    }
    book.record("n1", start + 1s);
    cr_assert_leq(book.read(start + 1s).size(), 4U);
    cr_assert_eq(book.read(start + 1s).front(), "n1");
    cr_assert_eq(book.read(start + 3s).size(), 1U);
    cr_assert(book.read(start + 10s).empty());
}
