#pragma once

#include "platform/objects/object_store.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <tuple>

namespace samphireway::gateway {

/** Counts the calls of the object API by operation, kind of object and result. Thread-safe. */
class store_counters {
public:
    /** One kind of call. */
    struct call_kind {
        std::string operation; ///< `get`, `put`, `list`, `watch` or `remove`.
        std::string kind;      ///< The part of the key before its first slash.
        bool is_answered = false;

        bool operator<(const call_kind& other) const
        {
            return std::tie(this->operation, this->kind, this->is_answered) <
                   std::tie(other.operation, other.kind, other.is_answered);
        }
    };

    /** Returns a store whose calls are counted here; this object must outlive it. */
    platform::object_store count(const platform::object_store& store);

    /** Returns the numbers of calls so far. */
    std::map<call_kind, std::int64_t> read() const;

private:
    void add(std::string_view operation, const std::string& key, bool is_answered);

    mutable std::mutex mutex;
    std::map<call_kind, std::int64_t> calls;
};

} // namespace samphireway::gateway
