#include "limits/control/lease_observer.h"

namespace samphireway::limits {

lease_observer::lease_observer(std::chrono::milliseconds clock_margin) : margin(clock_margin) {}

void lease_observer::observe(std::uint32_t shard, const std::vector<lease_record>& leases,
                             core::steady_time now)
{
    std::map<std::string, observed_renewal> current;
    const std::map<std::string, observed_renewal>& previous_leases = this->shards[shard];
    for (const lease_record& lease : leases) {
        const auto previous = previous_leases.find(lease.holder);
        const bool is_unchanged =
            previous != previous_leases.end() && previous->second.renewal == lease.renewal;
        current[lease.holder] = is_unchanged
                                    ? previous->second
                                    : observed_renewal{.renewal = lease.renewal,
                                                       .releasable_at = now + lease.hold_time + this->margin};
    }
    this->shards[shard] = std::move(current);
}

std::vector<expired_holder> lease_observer::expired(std::uint32_t shard, core::steady_time now) const
{
    std::vector<expired_holder> expired_holders;
    const auto renewals = this->shards.find(shard);
    if (renewals == this->shards.end()) {
        return expired_holders;
    }
    for (const auto& [holder, observed] : renewals->second) {
        if (now >= observed.releasable_at) {
            expired_holders.push_back(expired_holder{.holder = holder, .renewal = observed.renewal});
        }
    }
    return expired_holders;
}

} // namespace samphireway::limits
