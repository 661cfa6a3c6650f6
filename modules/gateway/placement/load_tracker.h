#pragma once

#include "core/core.h"

#include <string>
#include <unordered_map>

namespace samphireway::gateway {

/** What this node's own requests put on one upstream. @see load_tracker */
struct upstream_load {
    int in_flight = 0;
    core::steady_time full_until; ///< It refused a request as full; others go first until then.
};

/**
    Counts this node's requests at each upstream. Traffic thread only.

    @see choose_upstream
*/
class load_tracker {
public:
    /** Counts a request sent to an upstream. */
    void begin(const std::string& upstream);

    /** Ends a request counted by `begin`. */
    void end(const std::string& upstream);

    /** Notes that an upstream refused a request as full. */
    void refused_as_full(const std::string& upstream, core::steady_time now);

    /** Returns the load of an upstream; zero when it has none. */
    upstream_load read(const std::string& upstream) const;

private:
    std::unordered_map<std::string, upstream_load> loads;
};

} // namespace samphireway::gateway
