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

/** Objects that a follower has received in one call. @see object_follower */
struct followed_batch {
    platform::watch_batch batch;
    bool is_full_list = false; ///< Whether the batch contains every existing object below the prefix.
};

/** Options of a follower. @see object_follower */
struct follower_options {
    platform::object_store store;
    std::string prefix;
    std::chrono::milliseconds watch_wait{2500};         ///< Longest wait of a watch call for changes.
    std::chrono::milliseconds minimum_interval{0};      ///< Pause after a batch, to collect changes.
    std::chrono::milliseconds initial_retry_delay{200}; ///< First delay; doubled per further failure.
    std::chrono::milliseconds maximum_retry_delay{800}; ///< Limits how late an outage's end is noticed.
    std::function<void(followed_batch)> on_batch;       ///< Called on the follower's thread.
    std::function<void(const core::error&)> on_failure; ///< Called on the follower's thread.
};

/**
    Lists the objects below a prefix and then watches them for changes, on its own thread.

    After a failed call it resumes the watch from the same revision. It lists the objects again when the
    store no longer keeps the changes since that revision.
*/
class object_follower {
public:
    explicit object_follower(follower_options options_to_use);
    ~object_follower();
    object_follower(const object_follower&) = delete;
    object_follower& operator=(const object_follower&) = delete;

    /** Starts the thread. */
    void start();

    /** Stops the thread. The owner of the store must interrupt a waiting call first. Idempotent. */
    void stop();

private:
    void run();
    core::result<followed_batch> read_next();
    void pause(std::chrono::milliseconds length);

    const follower_options options;
    std::atomic<bool> is_stopping = false;
    bool is_listed = false;
    platform::object_version revision = 0;
    std::chrono::milliseconds next_retry_delay;
    std::mutex mutex;
    std::condition_variable wake;
    std::thread thread;
};

} // namespace samphireway::gateway
