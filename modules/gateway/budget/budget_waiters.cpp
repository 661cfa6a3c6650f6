#include "gateway/budget/budget_waiters.h"

#include <utility>
#include <vector>

namespace samphireway::gateway {

void budget_waiters::reserve(const std::string& workspace, std::int64_t tokens, core::steady_time now,
                             core::steady_time deadline, outcome_handler on_outcome)
{
    core::result<budget::reservation> reserved = this->grant_pool.reserve(workspace, tokens);
    if (reserved) {
        on_outcome(std::move(reserved));
        return;
    }
    const budget::waiting_request request = this->grant_pool.start_waiting(workspace, tokens, deadline);
    std::optional<core::result<budget::reservation>> outcome = this->grant_pool.try_waiting(request, now);
    if (outcome) {
        on_outcome(std::move(*outcome));
        return;
    }
    this->waiting.push_back(waiter{.request = request, .on_outcome = std::move(on_outcome)});
}

void budget_waiters::check(core::steady_time now)
{
    std::vector<std::pair<outcome_handler, core::result<budget::reservation>>> ended;
    for (auto entry = this->waiting.begin(); entry != this->waiting.end();) {
        std::optional<core::result<budget::reservation>> outcome =
            this->grant_pool.try_waiting(entry->request, now);
        if (!outcome) {
            ++entry;
            continue;
        }
        ended.emplace_back(std::move(entry->on_outcome), std::move(*outcome));
        entry = this->waiting.erase(entry);
    }
    for (auto& [on_outcome, outcome] : ended) {
        on_outcome(std::move(outcome));
    }
}

} // namespace samphireway::gateway
