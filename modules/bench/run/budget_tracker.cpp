#include "bench/run/budget_tracker.h"

namespace samphireway::bench {

budget_tracker::budget_tracker(std::map<std::string, std::int64_t> available)
    : remaining(std::move(available))
{
}

void budget_tracker::start_request(const std::string& plan, std::int64_t worst_case)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->remaining.find(plan);
    if (found != this->remaining.end()) {
        found->second -= worst_case;
    }
}

void budget_tracker::finish_request(const std::string& plan, std::int64_t worst_case, std::int64_t used)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->remaining.find(plan);
    if (found != this->remaining.end()) {
        found->second += worst_case - used;
    }
}

bool budget_tracker::can_cover(const std::string& plan, std::int64_t worst_case) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->remaining.find(plan);
    return found != this->remaining.end() && found->second >= worst_case;
}

} // namespace samphireway::bench
