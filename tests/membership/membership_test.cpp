#include "support/peer_fleet.h"

#include <criterion/criterion.h>
#include <cstdio>

namespace {

using namespace samphireway;
using namespace std::chrono_literals;
using membership::peer_state;

constexpr int convergence_intervals = 30;

void add_nodes(testing::peer_fleet& fleet, int count, int zones)
{
    for (int index = 0; index < count; ++index) {
        fleet.add(std::to_string(index), "z" + std::to_string(index % zones));
    }
    fleet.introduce_all();
}

platform::vm_list_reading listing(const std::vector<std::string>& ids, std::uint64_t revision)
{
    platform::vm_list_reading reading{.revision = revision, .vms = {}};
    for (const std::string& id : ids) {
        reading.vms.push_back(
            {.id = id, .role = "router", .address = "10.0.0." + id, .availability_zone = "z"});
    }
    return reading;
}

} // namespace

// Guards against a join, a planned stop or a failure of a node that some nodes never detect.
Test(membership, changes_reach_every_node)
{
    testing::peer_fleet fleet;
    add_nodes(fleet, 24, 4);
    fleet.run(convergence_intervals);
    fleet.add("24", "z0");
    fleet.at("5").tracker.start_leaving();
    fleet.run(convergence_intervals);
    cr_assert(fleet.all_see("24", peer_state::live));
    cr_assert(fleet.all_see("5", peer_state::leaving));
    fleet.at("5").is_running = false;
    fleet.at("7").is_running = false;
    fleet.run(convergence_intervals + 30);
    cr_assert(fleet.all_see("5", peer_state::gone));
    cr_assert(fleet.all_see("7", peer_state::gone));
    cr_assert(fleet.all_see("8", peer_state::live));
}

// Guards against treating a paused node as gone after it resumes, and a partition as lasting after it heals.
Test(membership, paused_node_and_healed_partition_return)
{
    testing::peer_fleet fleet;
    add_nodes(fleet, 16, 4);
    fleet.run(convergence_intervals);
    fleet.at("3").is_running = false;
    fleet.run(60);
    cr_assert(fleet.all_see("3", peer_state::gone));
    fleet.at("3").is_running = true;
    fleet.run(convergence_intervals);
    cr_assert(fleet.all_see("3", peer_state::live));
    fleet.is_connected = [](const std::string& from, const std::string& to) {
        return (std::stoi(from) % 2) == (std::stoi(to) % 2);
    };
    fleet.run(120);
    cr_assert_eq(fleet.state("0", "1"), peer_state::gone);
    cr_assert_eq(fleet.state("0", "2"), peer_state::live);
    fleet.is_connected = [](const std::string&, const std::string&) {
        return true;
    };
    fleet.run(120);
    for (const auto& [id, node] : fleet.nodes) {
        cr_assert(fleet.all_see(id, peer_state::live), "node %s", id.c_str());
    }
}

// Guards against wrong states of the remaining nodes when all nodes of an availability zone fail at once.
Test(membership, loss_of_a_whole_availability_zone)
{
    testing::peer_fleet fleet;
    add_nodes(fleet, 40, 4);
    fleet.run(convergence_intervals);
    for (int index = 0; index < 40; index += 4) {
        fleet.at(std::to_string(index)).is_running = false;
    }
    fleet.run(120);
    for (int index = 0; index < 40; ++index) {
        const peer_state expected = index % 4 == 0 ? peer_state::gone : peer_state::live;
        cr_assert(fleet.all_see(std::to_string(index), expected), "node %d", index);
    }
}

// Guards against addressing a restarted node by the incarnation that had its address before.
Test(membership, replacement_on_the_same_address)
{
    testing::peer_fleet fleet;
    add_nodes(fleet, 8, 4);
    fleet.run(convergence_intervals);
    fleet.nodes.erase("3");
    fleet.add("3", "z3", "2");
    fleet.run(convergence_intervals);
    cr_assert(fleet.all_see("3", peer_state::live));
    cr_assert_eq(fleet.at("0").tracker.view(fleet.steady).at("3").facts.endpoint.identity.incarnation, "3.2");
}

// Guards against suspecting a peer that can call this node, while this node cannot call it.
Test(membership, peer_on_a_one_way_link_stays_live)
{
    testing::peer_fleet fleet;
    add_nodes(fleet, 3, 3);
    fleet.run(convergence_intervals);
    fleet.is_connected = [](const std::string& from, const std::string& to) {
        return from != "0" || to != "1";
    };
    fleet.run(convergence_intervals);
    const membership::peer_view view = fleet.at("0").tracker.view(fleet.steady);
    cr_assert_eq(view.at("1").state, peer_state::live);
    cr_assert(!view.at("1").is_reachable);
}

// Guards against wrong states when the VM list lags: it lacks a new node, lists a dead one, or an old reading
// arrives late.
Test(membership, lagging_vm_list)
{
    testing::peer_fleet fleet;
    add_nodes(fleet, 4, 4);
    fleet.run(convergence_intervals);
    membership::membership_tracker& tracker = fleet.at("0").tracker;
    tracker.observe_vms(listing({"0", "2", "9"}, 5), fleet.steady);
    cr_assert_eq(fleet.state("0", "1"), peer_state::live, "not listed yet, but sends heartbeats");
    cr_assert_eq(fleet.state("0", "9"), peer_state::joining, "listed, but sent no heartbeat");
    tracker.observe_vms(listing({"0"}, 4), fleet.steady);
    cr_assert_eq(fleet.state("0", "9"), peer_state::joining, "a reading with an older revision is ignored");
    fleet.at("2").is_running = false;
    fleet.run(10);
    cr_assert_eq(fleet.state("0", "2"), peer_state::suspect, "still listed, but does not answer");
    tracker.observe_vms(listing({"0", "1", "3"}, 6), fleet.steady);
    cr_assert_eq(fleet.state("0", "2"), peer_state::gone, "does not answer and is no longer listed");
    fleet.run(60);
    tracker.observe_vms(listing({"0", "1", "3", "9"}, 7), fleet.steady);
    fleet.run(60);
    cr_assert_eq(fleet.state("0", "9"), peer_state::suspect, "listed for a minute without a heartbeat");
}

// Guards against control traffic that grows with the fleet. The budget is 9 KB/s per node at 360 nodes.
Test(membership, traffic_stays_within_the_control_budget)
{
    constexpr double budget_bytes_per_second = 9000;
    for (const int count : {8, 45, 120, 360}) {
        testing::peer_fleet fleet;
        add_nodes(fleet, count, 11);
        fleet.run(2);
        const auto measure = [&fleet](int intervals) {
            for (auto& [id, node] : fleet.nodes) {
                node->bytes = 0;
            }
            fleet.run(intervals);
            double highest = 0;
            double total = 0;
            for (const auto& [id, node] : fleet.nodes) {
                const double rate = static_cast<double>(node->bytes) / intervals;
                highest = std::max(highest, rate);
                total += rate;
            }
            return std::pair(total / static_cast<double>(fleet.nodes.size()), highest);
        };
        const auto [idle_mean, idle_highest] = measure(8);
        for (int index = 0; index < count; index += 11) {
            fleet.at(std::to_string(index)).is_running = false;
        }
        const auto [zone_mean, zone_highest] = measure(20);
        std::printf(
            "nodes=%d idle_mean=%.0f idle_highest=%.0f zone_loss_mean=%.0f zone_loss_highest=%.0f B/s\n",
            count, idle_mean, idle_highest, zone_mean, zone_highest);
        std::fflush(stdout);
        cr_assert_leq(idle_highest, budget_bytes_per_second);
        cr_assert_leq(zone_mean, budget_bytes_per_second);
    }
}
