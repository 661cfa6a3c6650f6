#pragma once

#include "core/core.h"

#include <string>
#include <unordered_map>

namespace samphireway::gateway {

/** Load of one upstream as this node sees it from its own requests. @see load_tracker */
struct upstream_load {
    int in_flight = 0;            ///< Requests of this node that the upstream is serving.
    core::steady_time full_until; ///< Until then other upstreams are preferred, since it refused a request.
};

/**
    Counts this node's requests at each upstream. Traffic thread only.

    @see choose_upstream
*/
class load_tracker {
public:
    /** Counts a request as in flight at an upstream. */
    void begin(const std::string& upstream);

    /** Removes a request that `begin` counted. */
    void end(const std::string& upstream);

    /** Marks an upstream as full for a short time because it refused a request. */
    void mark_full(const std::string& upstream, core::steady_time now);

    /** Returns the load of an upstream; zero if it has none. */
    upstream_load read(const std::string& upstream) const;

private:
    std::unordered_map<std::string, upstream_load> loads;
};

} // namespace samphireway::gateway
