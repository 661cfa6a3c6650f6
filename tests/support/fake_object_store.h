#pragma once

#include "platform/objects/object_store.h"

#include <map>
#include <mutex>
#include <string>

namespace samphireway::testing {

/**
    In-memory object store with injected faults and the same hooks as the platform's adapter.

    `watch` does not wait for changes: it returns at once, like `list`.
*/
class fake_object_store {
public:
    /** Returns hooks that call this store, which must outlive them. */
    platform::object_store hooks()
    {
        return platform::object_store{
            .get = [this](const std::string& key) { return this->get(key); },
            .put = [this](const std::string& key, const Json::Value& value,
                          platform::object_version expected) { return this->put(key, value, expected); },
            .remove = [this](const std::string& key,
                             platform::object_version expected) { return this->put(key, {}, expected); },
            .list = [this](const std::string& prefix) { return this->list(prefix, 0); },
            .watch = [this](const std::string& prefix, platform::object_version after,
                            core::steady_time) { return this->list(prefix, after); },
        };
    }

    bool is_down = false; ///< Whether all calls fail without effect.
    int lose_answers = 0; ///< Number of next writes that take effect but fail with `may_have_run`.
    int lose_writes = 0;  ///< Number of next writes that fail with `may_have_run` without effect.
    int delay_writes = 0; ///< Next writes that fail with `may_have_run` and take effect in `deliver_delayed`.
    std::uint64_t calls = 0;
    std::function<void(const std::string& key, const Json::Value& before, const Json::Value& after)>
        on_applied; ///< Called for each write that takes effect.

    /** Applies the delayed writes, each only if the object still has the expected version. */
    void deliver_delayed()
    {
        const std::vector<delayed_write> arriving = std::move(this->delayed);
        this->delayed.clear();
        for (const delayed_write& write : arriving) {
            this->put(write.key, write.value, write.expected);
        }
    }

    /** Loses objects without a trace, as a restore from a copy that lacks them does. */
    void forget(const std::string& prefix)
    {
        const std::lock_guard lock(this->mutex);
        std::erase_if(this->objects,
                      [&prefix](const auto& entry) { return entry.first.starts_with(prefix); });
    }

    /** Keeps a copy of what is stored now. */
    void copy()
    {
        const std::lock_guard lock(this->mutex);
        this->copied_objects = this->objects;
        this->copied_revision = this->revision;
    }

    /** Comes back from the copy, under a higher generation. Revisions since then are given out again. */
    void return_from_copy()
    {
        const std::lock_guard lock(this->mutex);
        this->objects = this->copied_objects;
        this->revision = this->copied_revision;
        ++this->generation;
    }

    /** Returns an object without counting the call in `calls`. */
    std::optional<platform::object> peek(const std::string& key)
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->objects.find(key);
        return found == this->objects.end() ? std::nullopt : std::optional<platform::object>(found->second);
    }

private:
    struct delayed_write {
        std::string key;
        Json::Value value;
        platform::object_version expected = 0;
    };

    static tl::unexpected<core::error> unavailable(core::verdict run)
    {
        return core::failure(core::error_code::platform_unavailable, "fault of the fake", run);
    }

    core::result<platform::object_reading> get(const std::string& key)
    {
        const std::lock_guard lock(this->mutex);
        ++this->calls;
        if (this->is_down) {
            return unavailable(core::verdict::not_run);
        }
        const auto found = this->objects.find(key);
        platform::object_reading reading{.generation = this->generation};
        if (found != this->objects.end()) {
            reading.found = found->second;
        }
        return reading;
    }

    core::result<platform::put_outcome> put(const std::string& key, const Json::Value& value,
                                            platform::object_version expected)
    {
        const std::lock_guard lock(this->mutex);
        ++this->calls;
        if (this->is_down) {
            return unavailable(core::verdict::not_run);
        }
        if (this->lose_writes > 0) {
            --this->lose_writes;
            return unavailable(core::verdict::may_have_run);
        }
        if (this->delay_writes > 0) {
            --this->delay_writes;
            this->delayed.push_back({.key = key, .value = value, .expected = expected});
            return unavailable(core::verdict::may_have_run);
        }
        const auto found = this->objects.find(key);
        const platform::object_version in_force = found == this->objects.end() ? 0 : found->second.version;
        if (in_force != expected) {
            platform::put_outcome conflict{.generation = this->generation};
            if (found != this->objects.end()) {
                conflict.current = found->second;
            }
            return conflict;
        }
        ++this->revision;
        if (this->on_applied) {
            this->on_applied(key, found == this->objects.end() ? Json::Value() : found->second.value, value);
        }
        this->objects[key] = platform::object{.key = key, .version = this->revision, .value = value};
        if (this->lose_answers > 0) {
            --this->lose_answers;
            return unavailable(core::verdict::may_have_run);
        }
        return platform::put_outcome{
            .applied = true, .version = this->revision, .current = {}, .generation = this->generation};
    }

    core::result<platform::watch_batch> list(const std::string& prefix, platform::object_version after)
    {
        const std::lock_guard lock(this->mutex);
        ++this->calls;
        if (this->is_down) {
            return unavailable(core::verdict::not_run);
        }
        platform::watch_batch batch{
            .revision = this->revision, .changed = {}, .generation = this->generation};
        for (const auto& [key, object] : this->objects) {
            if (key.starts_with(prefix) && object.version > after) {
                batch.changed.push_back(object);
            }
        }
        return batch;
    }

    std::mutex mutex;
    std::map<std::string, platform::object> objects;
    std::vector<delayed_write> delayed;
    platform::object_version revision = 0;
    std::uint64_t generation = 1;
    std::map<std::string, platform::object> copied_objects;
    platform::object_version copied_revision = 0;
};

} // namespace samphireway::testing
