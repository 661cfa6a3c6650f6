#include "gateway/placement/load_tracker.h"

namespace samphireway::gateway {

namespace {

// About the time in which an engine with a full batch completes a few requests.
constexpr std::chrono::milliseconds full_duration{200};

} // namespace

void load_tracker::begin(const std::string& upstream)
{
    ++this->loads[upstream].in_flight;
}

void load_tracker::end(const std::string& upstream)
{
    const auto found = this->loads.find(upstream);
    if (found == this->loads.end()) {
        return;
    }
    --found->second.in_flight;
    if (found->second.in_flight <= 0 && found->second.full_until == core::steady_time{}) {
        this->loads.erase(found);
    }
}

void load_tracker::mark_full(const std::string& upstream, core::steady_time now)
{
    this->loads[upstream].full_until = now + full_duration;
}

upstream_load load_tracker::read(const std::string& upstream) const
{
    const auto found = this->loads.find(upstream);
    return found == this->loads.end() ? upstream_load{} : found->second;
}

} // namespace samphireway::gateway
