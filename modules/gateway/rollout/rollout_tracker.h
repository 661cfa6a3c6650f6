#pragma once

#include "gateway/control/object_follower.h"
#include "gateway/rollout/rollout_order.h"

#include <memory>
#include <string>

namespace samphireway::gateway {

/**
    Tracks the operator's roll-out orders from the batches of a follower. Control thread only.

    A final state stays final, and an order stays known, when the object API is restored from a backup that
    lacks it.

    @see rollout_controller
*/
class rollout_tracker {
public:
    explicit rollout_tracker(rollout_reader reader_to_use);

    /** Applies a batch and returns the table to publish. */
    std::shared_ptr<const rollout_table> apply(const followed_batch& received, core::steady_time now);

private:
    void set(const std::string& key, rollout_order order, bool is_after_restore, core::steady_time now);

    const rollout_reader read;
    rollout_table entries;                       ///< By service.
    std::map<std::string, std::string> services; ///< Service of each stored object, by key.
    bool has_applied = false;
};

} // namespace samphireway::gateway
