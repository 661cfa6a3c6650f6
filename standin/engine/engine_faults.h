#pragma once

#include "faults/fault_switch.h"

#include <mutex>
#include <set>
#include <string>

namespace samphireway::standin {

/** Properties of a request that decide whether faults apply to it. @see is_fault_in_scope */
struct arriving_request {
    std::int64_t arrival_number = 0; ///< Position in the order of arrival at this engine, from 1.
    std::int64_t running = 0;        ///< Requests that were running when this one arrived.
    std::string version;
    Json::Value body;
};

/** Returns all faults of an engine with their initial values. */
Json::Value initial_engine_faults();

/**
    Returns whether the faults `fail_rate_percent`, `slow_factor`, `empty_answers` and
    `cut_after_tokens` apply to a request.

    They apply only to version `fault_version`, after `fault_after_requests` requests, above
    `fault_above_running` running requests and to the caller `fault_only`; a fault that is 0 or empty
    sets no condition. `fault_only` is compared with the members `workspace`, `plan` and `user` of the
    body, and searched for in the first message, since a router need not tell engines who the caller is.
*/
bool is_fault_in_scope(const fault_switch& faults, const arriving_request& request);

/**
    Decides which connections are silent: while `silent_connections` is on, those seen before it was
    switched on.

    @see engine_standin
*/
class silent_connections {
public:
    /** Returns whether the connection from a remote port is silent now. */
    bool is_silent(const fault_switch& faults, int remote_port);

private:
    std::mutex mutex;
    std::set<int> seen_before;
};

} // namespace samphireway::standin
