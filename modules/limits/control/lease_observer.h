#pragma once

#include "limits/ledger/load_ledger.h"

#include <map>
#include <string>
#include <vector>

namespace samphireway::limits {

/**
    Detects holders whose lease has expired, so that their shares may be released.

    A lease is a counter in the ledger that its holder increments at each renewal. The observer measures
    on its own steady clock for how long the counter has not changed, so the clocks of different VMs
    need not agree. The holder counts its lease from before the write that renewed it, and no observer
    can see the new value before that.

    @see expired_holder
*/
class lease_observer {
public:
    explicit lease_observer(std::chrono::milliseconds clock_margin);

    /** Records the leases of a shard's ledger, which was read at time `now`. */
    void observe(std::uint32_t shard, const std::vector<lease_record>& leases, core::steady_time now);

    /**
        Returns the holders of a shard that did not renew their lease within its hold time and the clock
        margin.
    */
    std::vector<expired_holder> expired(std::uint32_t shard, core::steady_time now) const;

private:
    struct observed_renewal {
        std::uint64_t renewal = 0;
        core::steady_time releasable_at; ///< Time at which the lease counts as expired.
    };

    const std::chrono::milliseconds margin;
    std::map<std::uint32_t, std::map<std::string, observed_renewal>> shards;
};

} // namespace samphireway::limits
