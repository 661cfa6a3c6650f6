#pragma once

#include "core/core.h"

#include <deque>
#include <json/json.h>
#include <mutex>

namespace samphireway::standin {

/**
    The VM list and its earlier versions, so that an endpoint can return an old one.

    @see platform_standin
*/
class vm_table {
public:
    vm_table();

    /** Replaces the list. */
    void set(Json::Value vms, core::steady_time now);

    /** Returns the list as it was `lag` before `now`, with its revision. */
    Json::Value read(std::chrono::milliseconds lag, core::steady_time now) const;

private:
    struct list_version {
        core::steady_time time;
        Json::Value list;
    };

    mutable std::mutex mutex;
    std::deque<list_version> history;
    std::uint64_t revision = 1;
};

} // namespace samphireway::standin
