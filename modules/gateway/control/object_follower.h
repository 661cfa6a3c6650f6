#pragma once

#include "core/core.h"
#include "platform/objects/object_store.h"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace samphireway::gateway {

/** Objects that were received in one answer of the object API or of a relay. @see object_follower */
struct followed_batch {
    platform::watch_batch batch;
    bool is_full_list = false;    ///< Whether the batch contains every existing object below the prefix.
    bool is_partial_list = false; ///< Whether the batch is a list that could not be read to its end.
    /** Whether the batch is a list and the first batch since the object API was restored from a backup. What
     * the list lacks may have been lost and be written again soon, and what it has may be out of date. */
    bool is_after_restore = false;
    platform::object_version after{}; ///< Revision after which the batch contains every change.
    /** Start of the sender's uninterrupted contact with the object API. Empty if unknown. */
    std::optional<core::steady_time> connected_since = std::nullopt;
    core::steady_time asked_at; ///< Start of the call that the object API answered with the batch.
    /** Who sent the batch: the object API, or the id of a relay. For logs. */
    std::string source = "object_api";
};

/** How often a follower calls the object API. @see follower_options */
struct follower_pace {
    std::chrono::milliseconds watch_wait{2500};         ///< Longest wait of a watch call for changes.
    std::chrono::milliseconds minimum_interval{0};      ///< Pause after changes, to collect further ones.
    std::chrono::milliseconds maximum_retry_delay{800}; ///< Limits how late an outage's end is noticed.
};

/** Options of a follower. @see object_follower */
struct follower_options {
    platform::object_store store;
    std::string prefix;
    std::chrono::milliseconds initial_retry_delay{200}; ///< First delay; doubled per further failure.
    /** Returns the position from which to watch, or nothing if the objects must be listed. */
    std::function<std::optional<platform::store_position>()> known_position;
    /** Returns whether the objects known are those of a list that could not be read to its end. */
    std::function<bool()> holds_partial_list = [] {
        return false;
    };
    std::function<follower_pace()> pace;          ///< Called before each call, on the follower's thread.
    std::function<void(followed_batch)> on_batch; ///< Called on the follower's thread.
    /** Receives the times between which a watch waited that was cut off. Called on the follower's thread. */
    std::function<void(core::steady_time from, core::steady_time until)> on_cut = [](core::steady_time,
                                                                                     core::steady_time) {
    };
    std::function<void(const core::error&)> on_failure; ///< Called on the follower's thread.
};

/**
    Lists the objects below a prefix and then watches them for changes, on its own thread, while it is
    active.

    A watch starts from the revision that the node knows, whoever it has it from. After a failed call the
    follower resumes from there. The object API may cut off a watch that waits; that counts as a failure only
    if the next call, made at once, fails as well. The follower lists the objects again when the store no
    longer keeps the changes since that revision or has been restored from a backup, and from time to time
    after a list that could not be read to its end.
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

    /** Lets the follower call the object API, or makes it sleep after the current call. Initially active. */
    void set_active(bool should_call);

private:
    void run();
    void follow_once();
    core::result<followed_batch> read_next(const follower_pace& pace);
    bool was_cut(const core::error& failure, core::steady_time now) const;
    core::result<followed_batch> list_again(const platform::store_position& known);
    void prepare_list(const follower_pace& pace);
    void wait_before_retry(const follower_pace& pace);
    void pause(std::chrono::milliseconds length);
    void await_activation();

    const follower_options options;
    std::atomic<bool> is_stopping = false;
    std::atomic<bool> is_active = true;
    bool must_list = false;
    bool may_list_at_once = true; ///< Whether a watch has succeeded since the history was last gone.
    bool must_confirm = true;     ///< Whether the next watch returns at once.
    core::steady_time asked_at;   ///< Start of the last call.
    /** When the object API ends the last watch at the latest; empty if the last call did not wait. */
    std::optional<core::steady_time> watch_until;
    std::optional<platform::store_position> received_position; ///< Of the last batch.
    core::steady_time list_again_at; ///< Earliest time at which a partial list is tried again.
    std::chrono::milliseconds next_retry_delay;
    std::mutex mutex;
    std::condition_variable wake;
    std::thread thread;
};

} // namespace samphireway::gateway
