#pragma once

#include "core/core.h"
#include "gateway/control/object_follower.h"
#include "gateway/model/upstream.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace samphireway::gateway {

/** Reads an upstream's entry. Fails with `invalid_argument` on an entry that names no usable upstream. */
using upstream_reader = std::function<core::result<upstream>(const platform::object& entry)>;

/**
    Which upstreams are registered, from the batches of a follower. Control thread only.

    Entries lapse while the object API is away, although their upstreams live on, and are back soon after it
    returns. So an entry that goes missing around an outage stays in the table until a hold has passed. An
    entry that says that its upstream is draining counts at once.

    @see object_follower
*/
class upstream_tracker {
public:
    explicit upstream_tracker(upstream_reader given);

    /** Takes a batch in; returns whether the table has changed. */
    bool apply(const followed_batch& received, core::steady_time now);

    /** Notes that a call failed: entries may lapse from now on. */
    void lost_contact(core::steady_time now);

    /** Removes entries whose hold has passed; returns whether the table has changed. */
    bool expire(core::steady_time now);

    /** Returns the table to publish. */
    std::shared_ptr<const upstream_table> table() const;

private:
    struct tracked {
        std::shared_ptr<const upstream> entry;
        std::optional<core::steady_time> missing_until; ///< Set while the entry is missing.
    };

    bool set(upstream entry);
    bool remove(const std::string& id, core::steady_time now);
    bool drop(const std::string& id, std::string_view reason);

    const upstream_reader read;
    std::map<std::string, tracked> entries;
    bool is_in_contact = true;
    core::steady_time hold_until; ///< Removals seen before this time are held until then.
};

} // namespace samphireway::gateway
