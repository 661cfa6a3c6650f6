#pragma once

#include "core/core.h"
#include "gateway/model/upstream.h"

#include <chrono>
#include <map>
#include <optional>

namespace samphireway::gateway {

/**
    What upstreams have asked of this node in their responses: to send nothing more, or nothing for a while.
    Traffic thread only.

    A notice concerns one incarnation of an upstream and outlives the request that brought it.

    @see find_upstream
*/
class upstream_notices {
public:
    /** Records that an upstream is leaving. Its incarnation gets no request again. */
    void record_leaving(const upstream& target);

    /** Records that an upstream wants no request before a time. */
    void record_pause(const upstream& target, core::steady_time until);

    /** Returns whether an upstream may get a request. */
    bool allows(const upstream& target, core::steady_time now) const;

    /** Returns the end of an upstream's pause, or nothing if it has none or is leaving. */
    std::optional<core::steady_time> pause_end(const upstream& target, core::steady_time now) const;

    /** Removes the notices of upstreams that are not in `listed`. Call this periodically. */
    void sweep(const upstream_table& listed);

private:
    struct notice {
        bool is_leaving = false;
        core::steady_time paused_until;
    };

    std::map<upstream_incarnation, notice> notices;
};

} // namespace samphireway::gateway
