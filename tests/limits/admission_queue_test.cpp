#include "limits/limits.h"

#include <criterion/criterion.h>
#include <list>
#include <random>

namespace {

using namespace samphireway;

std::list<limits::waiter> make_waiters(const std::string& workspace, int count, int priority = 0)
{
    std::list<limits::waiter> waiters;
    for (int index = 0; index < count; ++index) {
        limits::waiter& added = waiters.emplace_back();
        added.request = {.workspace = workspace,
                         .priority = priority,
                         .deadline = core::steady_time(std::chrono::milliseconds(1000 + index))};
    }
    return waiters;
}

} // namespace

// Guards against starvation of small workspaces when two others together offer five times the agreed load at
// a higher priority.
Test(admission_queue, greedy_workspaces_do_not_starve_the_others)
{
    constexpr int agreed = 12;
    std::mt19937 random(7);
    limits::admission_queue queue(64);
    std::list<limits::waiter> waiting;
    std::map<std::string, limits::amount> in_use;
    std::vector<std::string> running;
    std::map<std::string, int> served;
    std::map<std::string, int> offered;
    for (int round = 0; round < 2000; ++round) {
        const auto offer = [&](const std::string& workspace, int count, int priority) {
            for (limits::waiter& added : waiting) {
                count -= added.request.workspace == workspace && added.granted_upstream.empty() &&
                         !added.is_evicted;
            }
            for (int index = 0; index < count; ++index) {
                waiting.splice(waiting.end(), make_waiters(workspace, 1, priority));
                queue.add(waiting.back());
                ++offered[workspace];
            }
        };
        offer("greedy-1", 5 * agreed / 2, 9);
        offer("greedy-2", 5 * agreed / 2, 9);
        offer("small-1", 1, 0);
        offer("small-2", 1, 0);
        if (static_cast<int>(running.size()) == agreed) {
            const std::size_t ended = random() % running.size();
            --in_use[running[ended]];
            running.erase(running.begin() + static_cast<std::ptrdiff_t>(ended));
        }
        queue.serve(in_use, [&](limits::waiter& next) {
            if (static_cast<int>(running.size()) == agreed) {
                return false;
            }
            next.granted_upstream = "engine";
            ++in_use[next.request.workspace];
            ++served[next.request.workspace];
            running.push_back(next.request.workspace);
            return true;
        });
        waiting.remove_if(
            [](const limits::waiter& entry) { return !entry.granted_upstream.empty() || entry.is_evicted; });
    }
    // 2000 rounds with one ended request each give each of the four workspaces a quarter, about 500.
    cr_assert_geq(served["small-1"], 450);
    cr_assert_geq(served["small-2"], 450);
}

// Guards against a full queue that refuses a workspace with few waiters instead of the one with the most.
Test(admission_queue, full_queue_evicts_from_the_workspace_with_most_waiters)
{
    limits::admission_queue queue(4);
    std::list<limits::waiter> greedy = make_waiters("greedy", 4);
    for (limits::waiter& added : greedy) {
        cr_assert(queue.add(added));
    }
    std::list<limits::waiter> small = make_waiters("small", 1);
    cr_assert(queue.add(small.front()));
    cr_assert(greedy.back().is_evicted);
    std::list<limits::waiter> late = make_waiters("greedy", 5);
    cr_assert(!queue.add(late.back()));
}

// Guards against serving a workspace's requests in another order than by priority and then by deadline.
Test(admission_queue, priority_then_deadline_within_a_workspace)
{
    limits::admission_queue queue(8);
    std::list<limits::waiter> normal = make_waiters("a", 2);
    std::list<limits::waiter> urgent = make_waiters("a", 1, 5);
    queue.add(normal.back());
    queue.add(normal.front());
    queue.add(urgent.front());
    std::vector<const limits::waiter*> order;
    queue.serve({}, [&](limits::waiter& next) {
        order.push_back(&next);
        return true;
    });
    cr_assert_eq(order[0], &urgent.front());
    cr_assert_eq(order[1], &normal.front());
    cr_assert_eq(order[2], &normal.back());
}
