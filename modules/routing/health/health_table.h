#pragma once

#include "core/core.h"

#include <map>
#include <mutex>
#include <string>

namespace samphireway::routing {

/** Options of a health table. @see health_table */
struct health_options {
    /// Consecutive failures that eject an upstream; a retry covers single failures.
    int failures_to_eject = 3;
    /// Duration of the first ejection; doubled for each consecutive one, up to `longest_ejection`.
    std::chrono::milliseconds first_ejection{1000};
    std::chrono::milliseconds longest_ejection{30000};
    /// Interval between trial requests to an upstream whose ejection time is over.
    std::chrono::milliseconds trial_interval{1000};
};

/** Whether an upstream may get the next request. @see health_table::check */
enum class health_state { usable, ejected, trial };

/**
    Outlier ejection of upstreams, based on the outcomes of this node's own calls.

    Ejects an upstream after consecutive failures, or at once if it does not answer on a new connection.
    After the ejection time, one trial request per interval is sent to it until a request succeeds.
    Thread-safe.
*/
class health_table {
public:
    explicit health_table(health_options options);

    /** Records a success, which makes the upstream usable again. */
    void record_success(const std::string& upstream);

    /** Records a failure. `is_unreachable` ejects the upstream at once. */
    void record_failure(const std::string& upstream, bool is_unreachable, core::steady_time now);

    /** Returns the state for the next request. Returns `trial` for only one request per interval. */
    health_state check(const std::string& upstream, core::steady_time now);

    /** Returns whether an upstream is ejected or on trial. */
    bool is_ejected(const std::string& upstream) const;

private:
    struct entry {
        int failures = 0;
        int ejections = 0;            ///< Consecutive ejections; zero while usable.
        core::steady_time next_trial; ///< Earliest time of the next trial request.
    };

    void eject(entry& target, core::steady_time now) const;

    const health_options options;
    mutable std::mutex mutex;
    std::map<std::string, entry> entries; ///< Upstreams that failed since their last success.
};

} // namespace samphireway::routing
