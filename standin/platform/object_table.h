#pragma once

#include "platform/platform.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace samphireway::standin {

/** Objects as JSON texts with `key`, `version` and `value`; a removed one has the value null. */
struct text_batch {
    platform::object_version revision = 0;
    std::vector<std::string> objects;
};

/** Outcome of a write: the new version, or on a conflict the stored object. @see object_table::put */
struct text_put_outcome {
    bool applied = false;
    platform::object_version version = 0;
    std::optional<std::string> current;
};

/**
    Objects of the platform stand-in, with one revision counter for all of them.

    Objects are stored as JSON texts: serializing a list of 110,000 plans for every reader took two
    seconds.

    @see platform_standin
*/
class object_table {
public:
    /** Returns an object; empty when it does not exist. */
    std::optional<std::string> get(const std::string& key) const;

    /** Writes an object if its version is `expected`; 0 means that it must not exist. */
    text_put_outcome put(const std::string& key, const Json::Value& value, platform::object_version expected);

    /** Removes an object if its version is `expected`. */
    text_put_outcome remove(const std::string& key, platform::object_version expected);

    /** Returns the objects under a prefix that changed after a revision; after 0, no removed ones. */
    text_batch list(const std::string& prefix, platform::object_version after) const;

    /** Waits until an object under a prefix changes after a revision, or until the deadline. */
    text_batch watch(const std::string& prefix, platform::object_version after,
                     core::steady_time deadline) const;

private:
    struct stored_object {
        platform::object_version version = 0;
        bool is_removed = false;
        std::string text;
    };

    text_put_outcome write(const std::string& key, const Json::Value& value,
                           platform::object_version expected);
    text_batch list_locked(const std::string& prefix, platform::object_version after) const;

    mutable std::mutex mutex;
    mutable std::condition_variable changed;
    std::map<std::string, stored_object> objects;
    platform::object_version revision = 0;
};

} // namespace samphireway::standin
