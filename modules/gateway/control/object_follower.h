#pragma once

#include "core/core.h"
#include "platform/objects/object_store.h"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

namespace samphireway::gateway {

/** What a follower has received. @see object_follower */
struct followed_batch {
    platform::watch_batch batch;
    bool is_full_list = false; ///< Holds every object; those not in it do not exist.
};

/** Options of a follower. @see object_follower */
struct follower_options {
    platform::object_store store;
    std::string prefix;
    std::chrono::milliseconds watch_wait{2500};
    std::chrono::milliseconds least_interval{0};        ///< Between two batches; gathers changes.
    std::chrono::milliseconds first_pause{200};         ///< After a failed call; doubles with each in a row.
    std::chrono::milliseconds longest_pause{800};       ///< Bounds how late the end of an outage is noticed.
    std::function<void(followed_batch)> on_batch;       ///< Called on the follower's thread.
    std::function<void(const core::error&)> on_failure; ///< Called on the follower's thread.
};

/**
    Lists the objects below a prefix, then watches them for changes, on a thread of its own.

    After a failed call it watches on from the same revision. It lists again when the changes since then are
    no longer kept.
*/
class object_follower {
public:
    explicit object_follower(follower_options given);
    ~object_follower();
    object_follower(const object_follower&) = delete;
    object_follower& operator=(const object_follower&) = delete;

    /** Starts the thread. */
    void start();

    /** Ends the thread; a call that waits must be interrupted by the owner of the store. Idempotent. */
    void stop();

private:
    void run();
    core::result<followed_batch> read_next();
    void pause(std::chrono::milliseconds length);

    const follower_options options;
    std::atomic<bool> is_stopping = false;
    bool is_listed = false;
    platform::object_version revision = 0;
    std::chrono::milliseconds next_pause;
    std::mutex mutex;
    std::condition_variable wake;
    std::thread thread;
};

} // namespace samphireway::gateway
