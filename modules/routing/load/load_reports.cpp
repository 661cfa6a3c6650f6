#include "routing/load/load_reports.h"

#include <algorithm>

namespace samphireway::routing {

void load_reports::add(const std::string& upstream, std::int64_t reported, std::int64_t own_in_flight,
                       core::steady_time requested_at)
{
    const std::lock_guard lock(this->mutex);
    report& latest = this->reports[upstream];
    if (requested_at >= latest.requested_at) {
        latest = report{.others_in_flight = std::max<std::int64_t>(0, reported - own_in_flight),
                        .requested_at = requested_at};
    }
}

std::int64_t load_reports::estimate(const std::string& upstream, std::int64_t own_in_flight,
                                    core::steady_time now) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->reports.find(upstream);
    if (found == this->reports.end() || now - found->second.requested_at > maximum_age) {
        return own_in_flight;
    }
    return own_in_flight + found->second.others_in_flight;
}

} // namespace samphireway::routing
