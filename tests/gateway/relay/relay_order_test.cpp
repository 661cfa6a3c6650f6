#include "gateway/relay/relay_order.h"

#include <criterion/criterion.h>
#include <map>
#include <set>

namespace {

using namespace samphireway;
using gateway::member;
using gateway::member_list;
using gateway::relay_order;

const std::vector<std::string> zones{"north", "south", "west"};

member_list make_fleet(int nodes_per_zone)
{
    member_list fleet;
    for (const std::string& zone : zones) {
        for (int index = 0; index < nodes_per_zone; ++index) {
            fleet.members.push_back({.id = zone + "-" + std::to_string(index),
                                     .availability_zone = zone,
                                     .capacity = index < 3 ? 100.0 : 2.4});
        }
    }
    return fleet;
}

relay_order order_of(const member_list& fleet, const member& node)
{
    return gateway::order_relays(&fleet, {.node = node.id, .availability_zone = node.availability_zone});
}

} // namespace

// Guards against a fleet whose calls of the object API grow with its nodes: one relay a zone watches, all
// others of the zone ask it first.
Test(relay_order, one_node_of_each_zone_is_its_relay)
{
    const member_list fleet = make_fleet(33);
    std::map<std::string, std::set<std::string>> relays;
    std::map<std::string, std::set<std::string>> first_asked;
    for (const member& node : fleet.members) {
        const relay_order order = order_of(fleet, node);
        if (order.is_relay) {
            relays[node.availability_zone].insert(node.id);
            continue;
        }
        first_asked[node.availability_zone].insert(order.candidates.front().id);
        for (const member& candidate : order.candidates) {
            cr_assert_neq(candidate.id, node.id);
        }
    }
    for (const std::string& zone : zones) {
        cr_assert_eq(relays[zone].size(), 1U);
        cr_assert(relays[zone] == first_asked[zone]);
    }
}

// Guards against nodes that all ask the same node elsewhere when the relay of their zone is lost.
Test(relay_order, last_candidates_are_relays_of_other_zones)
{
    const member_list fleet = make_fleet(33);
    std::set<std::string> asked_elsewhere;
    for (const member& node : fleet.members) {
        const relay_order order = order_of(fleet, node);
        cr_assert_geq(order.candidates.size(), 5U);
        const member& next = order.candidates[order.candidates.size() - 2];
        cr_assert_neq(next.availability_zone, node.availability_zone);
        asked_elsewhere.insert(next.id);
    }
    cr_assert_eq(asked_elsewhere.size(), zones.size());
}

// Guards against a small VM that is made a relay although larger ones are there.
Test(relay_order, larger_vms_are_chosen_more_often)
{
    int large_first = 0;
    constexpr int keys = 1000;
    const member_list fleet = make_fleet(33);
    for (int key = 0; key < keys; ++key) {
        large_first += gateway::rank_by_capacity(fleet.members, std::to_string(key)).front().capacity > 50;
    }
    // Nine of 99 VMs have 100 parts of capacity each, the others 2.4: 81% in all.
    cr_assert_gt(large_first, 750);
    cr_assert_lt(large_first, 870);
}

// Guards against a change of relay in every zone whenever a node joins.
Test(relay_order, order_of_the_others_is_kept_when_a_node_joins)
{
    member_list fleet = make_fleet(10);
    const std::vector<member> before = gateway::rank_by_capacity(fleet.members, "k");
    fleet.members.push_back({.id = "joined", .availability_zone = "north", .capacity = 1});
    std::vector<member> after = gateway::rank_by_capacity(fleet.members, "k");
    std::erase_if(after, [](const member& node) { return node.id == "joined"; });
    cr_assert(before == after);
}

// Guards against a small fleet, or a node that is not registered yet, that waits for relays.
Test(relay_order, small_and_unknown_fleets_watch_for_themselves)
{
    const member_list small = make_fleet(5);
    for (const member& node : small.members) {
        cr_assert(order_of(small, node).is_relay);
    }
    cr_assert(gateway::order_relays(nullptr, {.node = "a"}).is_relay);
    const member_list large = make_fleet(33);
    cr_assert(gateway::order_relays(&large, {.node = "unlisted", .availability_zone = "north"}).is_relay);
}
