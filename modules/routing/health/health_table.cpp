#include "routing/health/health_table.h"

#include <algorithm>

namespace samphireway::routing {

namespace {

// Keeps the shift below within the range of int; the longest ejection is reached long before.
constexpr int maximum_doublings = 16;

} // namespace

health_table::health_table(health_options options_to_use) : options(options_to_use) {}

void health_table::record_success(const std::string& upstream)
{
    const std::lock_guard lock(this->mutex);
    this->entries.erase(upstream);
}

void health_table::record_failure(const std::string& upstream, bool is_unreachable, core::steady_time now)
{
    const std::lock_guard lock(this->mutex);
    entry& target = this->entries[upstream];
    ++target.failures;
    const bool was_ejected = target.ejections > 0;
    const bool should_eject = is_unreachable || target.failures >= this->options.failures_to_eject;
    // Requests that were in flight when the upstream was ejected may fail as well. They
    // do not extend the ejection.
    if (should_eject && (!was_ejected || now >= target.next_trial - this->options.trial_interval)) {
        this->eject(target, now);
    }
}

void health_table::eject(entry& target, core::steady_time now) const
{
    const auto duration = this->options.first_ejection * (1 << std::min(target.ejections, maximum_doublings));
    target.next_trial = now + std::min<std::chrono::milliseconds>(duration, this->options.longest_ejection);
    ++target.ejections;
}

health_state health_table::check(const std::string& upstream, core::steady_time now)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->entries.find(upstream);
    if (found == this->entries.end() || found->second.ejections == 0) {
        return health_state::usable;
    }
    if (now < found->second.next_trial) {
        return health_state::ejected;
    }
    found->second.next_trial = now + this->options.trial_interval;
    return health_state::trial;
}

bool health_table::is_ejected(const std::string& upstream) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->entries.find(upstream);
    return found != this->entries.end() && found->second.ejections > 0;
}

} // namespace samphireway::routing
