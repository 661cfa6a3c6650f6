#pragma once

#include "core/core.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace samphireway::routing {

/**
    Load reports of upstreams, corrected for this node's requests since the report.

    A report is the number of requests of all nodes that were in flight some time ago. An estimate
    replaces this node's part of that number by its present one, so that its own newer requests count at
    once. Thread-safe.
*/
class load_reports {
public:
    /** Reports older than this are ignored. */
    static constexpr std::chrono::milliseconds maximum_age{10000};

    /**
        Stores a report, unless a newer one is stored.

        `own_in_flight` is the number of this node's requests in flight at `requested_at`, when the
        report was requested.
    */
    void add(const std::string& upstream, std::int64_t reported, std::int64_t own_in_flight,
             core::steady_time requested_at);

    /**
        Returns the estimated number of requests in flight over all nodes.

        Without a recent report this is `own_in_flight`.
    */
    std::int64_t estimate(const std::string& upstream, std::int64_t own_in_flight,
                          core::steady_time now) const;

private:
    struct report {
        std::int64_t others_in_flight = 0; ///< Requests of the other nodes.
        core::steady_time requested_at;
    };

    mutable std::mutex mutex;
    std::map<std::string, report> reports;
};

} // namespace samphireway::routing
