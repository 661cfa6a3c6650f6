#include "traffic/retry/retry_budget.h"

#include <algorithm>

namespace samphireway::traffic {

retry_budget::retry_budget(retry_budget_options options_to_use) : options(options_to_use) {}

void retry_budget::earn(const std::string& upstream)
{
    const std::lock_guard lock(this->mutex);
    double& left = this->balance(upstream);
    left = std::min(this->options.maximum, left + this->options.earned_per_success);
}

bool retry_budget::spend(const std::string& upstream)
{
    const std::lock_guard lock(this->mutex);
    double& left = this->balance(upstream);
    if (left < 1.0) {
        return false;
    }
    left -= 1.0;
    return true;
}

bool retry_budget::has_retry(const std::string& upstream) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->balances.find(upstream);
    return found == this->balances.end() || found->second >= 1.0;
}

double& retry_budget::balance(const std::string& upstream)
{
    return this->balances.try_emplace(upstream, this->options.maximum).first->second;
}

} // namespace samphireway::traffic
