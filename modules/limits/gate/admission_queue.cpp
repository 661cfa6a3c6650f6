#include "limits/gate/admission_queue.h"

#include <algorithm>
#include <tuple>

namespace samphireway::limits {

namespace {

bool is_served_before(const waiter& left, const waiter& right)
{
    return std::make_tuple(-left.request.priority, left.request.deadline) <
           std::make_tuple(-right.request.priority, right.request.deadline);
}

} // namespace

admission_queue::admission_queue(std::size_t capacity_to_use) : capacity(capacity_to_use) {}

bool admission_queue::add(waiter& added)
{
    std::list<waiter*>& waiters = this->by_workspace[added.request.workspace];
    const auto position = std::find_if(waiters.begin(), waiters.end(),
                                       [&](const waiter* other) { return is_served_before(added, *other); });
    waiters.insert(position, &added);
    ++this->count;
    if (this->count <= this->capacity) {
        return true;
    }
    const auto most_waiters = std::max_element(
        this->by_workspace.begin(), this->by_workspace.end(),
        [](const auto& left, const auto& right) { return left.second.size() < right.second.size(); });
    waiter* last = most_waiters->second.back();
    last->is_evicted = true;
    last->changed.notify_all();
    this->remove(*last);
    return last != &added;
}

void admission_queue::remove(const waiter& removed)
{
    const auto found = this->by_workspace.find(removed.request.workspace);
    if (found == this->by_workspace.end()) {
        return;
    }
    this->count -= found->second.remove_if([&](const waiter* other) { return other == &removed; });
    if (found->second.empty()) {
        this->by_workspace.erase(found);
    }
}

void admission_queue::serve(const std::map<std::string, amount>& in_use,
                            const std::function<bool(waiter&)>& try_serve)
{
    std::multimap<amount, std::string> turns;
    for (const auto& [workspace, waiters] : this->by_workspace) {
        const auto used = in_use.find(workspace);
        turns.emplace(used == in_use.end() ? 0 : used->second, workspace);
    }
    while (!turns.empty()) {
        const auto turn = turns.begin();
        const amount used = turn->first;
        const std::string workspace = turn->second;
        turns.erase(turn);
        std::list<waiter*>& waiters = this->by_workspace[workspace];
        const auto served =
            std::find_if(waiters.begin(), waiters.end(), [&](waiter* next) { return try_serve(*next); });
        if (served == waiters.end()) {
            continue;
        }
        waiters.erase(served);
        --this->count;
        if (waiters.empty()) {
            this->by_workspace.erase(workspace);
            continue;
        }
        turns.emplace(used + 1, workspace);
    }
}

std::size_t admission_queue::size() const noexcept
{
    return this->count;
}

std::size_t admission_queue::size_of(const std::string& workspace) const
{
    const auto found = this->by_workspace.find(workspace);
    return found == this->by_workspace.end() ? 0 : found->second.size();
}

void admission_queue::for_each(const std::function<void(const waiter&)>& visit) const
{
    for (const auto& [workspace, waiters] : this->by_workspace) {
        for (const waiter* waiting : waiters) {
            visit(*waiting);
        }
    }
}

} // namespace samphireway::limits
