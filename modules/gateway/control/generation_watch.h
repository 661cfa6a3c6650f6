#pragma once

#include "platform/objects/object_store.h"

#include <atomic>
#include <cstdint>
#include <functional>

namespace samphireway::gateway {

/**
    Learns of a restore of the object API from whatever answer names its new generation first.

    What a node has stored may be lost then, and what it has read may be out of date. A node that starts
    cannot tell whether a higher generation than the first has just begun, so it takes it for a new one.
    Thread-safe.

    @see platform::store_position
*/
class generation_watch {
public:
    /** @param on_restore called once for each higher generation, on the thread that records it */
    explicit generation_watch(std::function<void(std::uint64_t generation)> on_restore);

    /** Returns a store whose answers are recorded here; this object must outlive it. */
    platform::object_store observe(const platform::object_store& store);

    /** Records a generation that an answer or another node has named; zero names none. */
    void record(std::uint64_t generation);

private:
    const std::function<void(std::uint64_t generation)> notify;
    std::atomic<std::uint64_t> latest{0};
};

} // namespace samphireway::gateway
