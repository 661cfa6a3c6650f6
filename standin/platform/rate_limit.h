#pragma once

#include "core/core.h"

#include <cstdint>
#include <mutex>

namespace samphireway::standin {

/**
    Token bucket that limits calls per second and allows a burst of one second's calls.

    @see platform_standin
*/
class rate_limit {
public:
    /** Takes a token for one call; returns false if there is none. A rate of 0 allows every call. */
    bool try_take(std::int64_t calls_per_second, core::steady_time now);

private:
    std::mutex mutex;
    double tokens = -1; ///< Negative until the first limited call fills the bucket.
    core::steady_time refilled_at;
};

} // namespace samphireway::standin
