#pragma once

#include "gateway/model/upstream.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace samphireway::gateway {

/**
    Remembers the processes of upstreams that have left the table, so that an older entry is told from a new
    one.

    The order is that of the processes' starts, not that of the store's revisions, which a restored store
    gives out again. Bounded; the oldest departures are forgotten first.

    @see upstream_tracker
*/
class departed_upstreams {
public:
    /** Records that a process has left. */
    void add(const upstream& entry);

    /** Forgets a process, as it is in the table again. */
    void remove(const std::string& id);

    /** Records that the object API was restored from a backup, which may hold entries of the processes that
     * have left so far. */
    void record_restore();

    /** Returns whether an entry is that of a process which had left before the last restore, or of an earlier
     * one of the same id. */
    bool left_before_restore(const upstream& entry) const;

    /** Returns whether an entry is that of a process which said that it was leaving before it left. */
    bool was_draining(const upstream& entry) const;

private:
    struct departure {
        std::int64_t started_at_ms = 0;
        bool was_draining = false;
        bool is_before_restore = false;
    };

    std::map<std::string, departure> departures;
    std::deque<std::string> order; ///< Ids, oldest departure first; may hold ids that came back.
};

} // namespace samphireway::gateway
