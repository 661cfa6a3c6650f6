#pragma once

#include "core/core.h"

#include <cstdint>
#include <functional>
#include <json/json.h>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace samphireway::platform {

/** Version of a stored object. The platform raises it with each write; zero means absent. */
using object_version = std::uint64_t;

/**
    A position in the history of the object API.

    An API that is restored from a backup forgets its newest writes and gives their revisions out again, under
    a higher generation. Revisions of two generations cannot be compared.
*/
struct store_position {
    std::uint64_t generation = 0; ///< Zero if the API names none.
    object_version revision = 0;

    bool operator==(const store_position&) const = default;

    bool operator<(const store_position& other) const
    {
        return std::tie(this->generation, this->revision) < std::tie(other.generation, other.revision);
    }

    bool operator<=(const store_position& other) const
    {
        return !(other < *this);
    }

    bool operator>(const store_position& other) const
    {
        return other < *this;
    }
};

/** An object of the platform's object API as read at one version. @see object_store */
struct object {
    std::string key;
    object_version version = 0;
    Json::Value value;
    Json::Value status; ///< Reported status, where the API stores it separately; otherwise null.
};

/** Returns the name of an object below its kind, the first part of its key. Names may hold slashes. */
inline std::string object_name(const std::string& key)
{
    return key.substr(key.find('/') + 1);
}

/** Result of a read of one object. @see object_store::get */
struct object_reading {
    std::optional<object> found;  ///< Empty when the object does not exist.
    std::uint64_t generation = 0; ///< Generation of the API that answered; zero if it names none.
};

/** Result of a conditional write. @see object_store::put */
struct put_outcome {
    bool applied = false;          ///< False on a version conflict.
    object_version version = 0;    ///< Version of the written object, when applied.
    std::optional<object> current; ///< On a conflict, the stored object; empty when it does not exist.
    std::uint64_t generation = 0;  ///< Generation of the API that answered; zero if it names none.
};

/** Objects returned by a list or a watch. @see object_store::watch */
struct watch_batch {
    object_version revision = 0; ///< Pass this as `after` to the next watch.
    std::vector<object> changed; ///< Latest state of each object; a removed one has a null value.
    /** Whether a list could not be read to its end, so that objects may exist which it lacks. */
    bool is_partial = false;
    std::uint64_t generation = 0; ///< Generation to which the revision belongs; zero if the API names none.

    /** Returns the position up to which the batch tells of changes. */
    store_position position() const noexcept
    {
        return {.generation = this->generation, .revision = this->revision};
    }
};

/**
    Access to the platform's object API.

    The members are hooks, so that tests can replace the HTTP adapter by a fake. Each fails with
    `platform_unavailable`, or with `rate_limited` when the platform's rate limit is exceeded. A `put`
    or `remove` that failed with verdict `may_have_run` may have taken effect: read the object again
    before deciding.

    @see http_platform::make_object_store
*/
struct object_store {
    /** Reads one object. */
    std::function<core::result<object_reading>(const std::string& key)> get;

    /** Writes an object if its version equals `expected`; zero means that it must not exist. */
    std::function<core::result<put_outcome>(const std::string& key, const Json::Value& value,
                                            object_version expected)>
        put;

    /** Replaces an object's status if its version equals `expected`. Null if the API has no status. */
    std::function<core::result<put_outcome>(const std::string& key, const Json::Value& status,
                                            object_version expected)>
        put_status = nullptr;

    /** Removes an object if its version equals `expected`. */
    std::function<core::result<put_outcome>(const std::string& key, object_version expected)> remove;

    /** Lists all objects whose key starts with `prefix`, or those before a part that cannot be read. */
    std::function<core::result<watch_batch>(const std::string& prefix)> list;

    /**
        Waits until objects under `prefix` change after revision `after`, or until the deadline.

        Fails with `history_gone` when the changes since that revision are no longer kept.
    */
    std::function<core::result<watch_batch>(const std::string& prefix, object_version after,
                                            core::steady_time deadline)>
        watch;
};

} // namespace samphireway::platform
