#include "gateway/control/departed_upstreams.h"

namespace samphireway::gateway {

namespace {

// Some times the number of upstreams of the largest deployment.
constexpr std::size_t maximum_departures = 4096;

} // namespace

void departed_upstreams::add(const upstream& entry)
{
    if (entry.started_at_ms == 0) {
        return; // Its processes cannot be told apart.
    }
    this->departures[entry.id] = {.started_at_ms = entry.started_at_ms, .was_draining = entry.is_draining};
    this->order.push_back(entry.id);
    while (this->order.size() > maximum_departures) {
        this->departures.erase(this->order.front());
        this->order.pop_front();
    }
}

void departed_upstreams::remove(const std::string& id)
{
    this->departures.erase(id);
}

void departed_upstreams::record_restore()
{
    for (auto& [id, entry] : this->departures) {
        entry.is_before_restore = true;
    }
}

bool departed_upstreams::left_before_restore(const upstream& entry) const
{
    const auto found = this->departures.find(entry.id);
    return found != this->departures.end() && found->second.is_before_restore &&
           entry.started_at_ms <= found->second.started_at_ms;
}

bool departed_upstreams::was_draining(const upstream& entry) const
{
    const auto found = this->departures.find(entry.id);
    return found != this->departures.end() && found->second.was_draining &&
           entry.started_at_ms == found->second.started_at_ms;
}

} // namespace samphireway::gateway
