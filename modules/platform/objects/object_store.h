#pragma once

#include "core/core.h"

#include <cstdint>
#include <functional>
#include <json/json.h>
#include <optional>
#include <string>
#include <vector>

namespace samphireway::platform {

/** Version of a stored object, assigned by the platform; rises with each write. Zero stands for absence. */
using object_version = std::uint64_t;

/** An object of the platform's object API as read at one version. @see object_store */
struct object {
    std::string key;
    object_version version = 0;
    Json::Value value;
    Json::Value
        status; ///< What the system reports about the object, where the API keeps it apart; else null.
};

/** Result of a conditional write. @see object_store::put */
struct put_outcome {
    bool applied = false;          ///< False on a version conflict.
    object_version version = 0;    ///< Version now in force, when applied.
    std::optional<object> current; ///< On a conflict, the object in force; empty when it does not exist.
};

/** Changes seen by a watch. @see object_store::watch */
struct watch_batch {
    object_version revision = 0; ///< Pass this as `after` to the next watch.
    std::vector<object>
        changed; ///< Objects written since, newest state of each. A removed one has a null value.
};

/**
    Access to the platform's object API.

    The members are hooks, so that tests put a fake in place of the HTTP adapter. Each fails with
    `platform_unavailable`, or `rate_limited` when the platform refuses over its rate. A failed `put` or
    `remove` with verdict `may_have_run` may have taken effect: read again before deciding.

    @see make_http_object_store
*/
struct object_store {
    /** Reads one object; an empty optional when it does not exist. */
    std::function<core::result<std::optional<object>>(const std::string& key)> get;

    /** Writes when the object's version equals `expected`; zero means that it must not exist. */
    std::function<core::result<put_outcome>(const std::string& key, const Json::Value& value,
                                            object_version expected)>
        put;

    /** Replaces the status of an object whose version equals `expected`. Empty where the API has none. */
    std::function<core::result<put_outcome>(const std::string& key, const Json::Value& status,
                                            object_version expected)>
        put_status = nullptr;

    /** Removes the object when its version equals `expected`. */
    std::function<core::result<put_outcome>(const std::string& key, object_version expected)> remove;

    /** Lists all objects whose key starts with `prefix`. */
    std::function<core::result<watch_batch>(const std::string& prefix)> list;

    /** Waits until objects below `prefix` change after a revision, or until the deadline. Fails with
     * `history_gone` when the changes since that revision are no longer kept. */
    std::function<core::result<watch_batch>(const std::string& prefix, object_version after,
                                            core::steady_time deadline)>
        watch;
};

} // namespace samphireway::platform
