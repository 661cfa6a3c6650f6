#pragma once

#include "core/core.h"
#include "gateway/control/departed_upstreams.h"
#include "gateway/control/object_follower.h"
#include "gateway/model/upstream.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace samphireway::gateway {

/** Decodes an upstream's entry. Fails with `invalid_argument` if the entry describes no usable
 * upstream. */
using upstream_reader = std::function<core::result<upstream>(const platform::object& entry)>;

/**
    Tracks the registered upstreams from the batches of a follower. Control thread only.

    During an outage of the object API entries expire although their upstreams still run; these register
    again soon after the outage. So an entry that is removed around an outage stays in the table until a
    hold time has passed. A change to draining takes effect at once, and the entry of a draining upstream
    is never held after its removal.

    Leaving is final for a process of an upstream, whatever the object API says later: one that was draining
    stays so, and one that was removed before the object API was restored from a backup comes back only if its
    entry outlives the time in which lost changes are written again.

    @see object_follower
*/
class upstream_tracker {
public:
    explicit upstream_tracker(upstream_reader reader_to_use);

    /** Applies a batch. Returns whether the table has changed. */
    bool apply(const followed_batch& received, core::steady_time now);

    /** Records that the object API is out of reach: from now on entries may expire although their
     * upstreams still run. */
    void set_disconnected(core::steady_time now);

    /** Records that the contact with the object API is uninterrupted since a time. */
    void set_connected(core::steady_time since);

    /** Removes missing entries whose hold time is over, and takes over doubted ones that have outlived their
     * time. Returns whether the table has changed. */
    bool expire(core::steady_time now);

    /** Returns the table of upstreams to publish. */
    std::shared_ptr<const upstream_table> table() const;

private:
    struct tracked {
        std::shared_ptr<const upstream> entry;
        std::optional<core::steady_time> missing_until; ///< End of the hold time of a missing entry.
    };

    bool is_older_than_known(const upstream& entry) const;
    bool accept(upstream entry, const followed_batch& received, core::steady_time now);
    bool set(upstream entry, std::string_view source, platform::store_position position);
    bool set_unusable(const std::string& id, const std::string& reason);
    void hold_removals(core::steady_time connected_since);
    bool remove(const std::string& id, core::steady_time now);
    bool drop(const std::string& id, std::string_view reason);

    const upstream_reader read;
    std::map<std::string, tracked> entries;
    departed_upstreams departed;
    std::map<std::string, upstream> doubted; ///< Entries of processes that had left before a restore, by id.
    core::steady_time doubt_until;           ///< Until then lost changes may still be written again.
    std::map<std::string, std::string> unusable; ///< Why an entry names no upstream, by id.
    bool is_connected = true;
    core::steady_time hold_until; ///< Entries removed before this time stay in the table until then.
};

} // namespace samphireway::gateway
