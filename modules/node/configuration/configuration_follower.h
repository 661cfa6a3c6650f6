#pragma once

#include "configuration/configuration.h"
#include "core/core.h"
#include "platform/platform.h"

#include <atomic>
#include <functional>
#include <thread>

namespace samphireway::node {

/** Options of a configuration follower. @see configuration_follower */
struct follower_options {
    platform::object_store store;
    /**
        Longest duration of one watch call. The platform adapter closes a watch after this time plus its
        call timeout. A watch whose connection is dead is therefore reopened within 4 s at the default
        call timeout of 2 s.
    */
    std::chrono::milliseconds watch_wait{2000};
    std::chrono::milliseconds retry_delay{200}; ///< Delay after a failed platform call.
    std::function<void()> on_change; ///< Called after each list or watch call, on the follower's thread.
};

/**
    Keeps a distributor up to date with the configuration objects of the platform: lists them once, then
    watches for changes from the revision of the listing.

    @see configuration::distributor
*/
class configuration_follower {
public:
    configuration_follower(configuration::distributor& target_to_use, follower_options options_to_use);
    ~configuration_follower();
    configuration_follower(const configuration_follower&) = delete;
    configuration_follower& operator=(const configuration_follower&) = delete;

    /** Starts the thread that lists and watches. */
    void start();

    /**
        Ends the thread. Idempotent.

        @pre Platform calls have been interrupted; otherwise this waits for them.
    */
    void stop();

private:
    void run();
    bool list_all();
    bool watch_once();

    configuration::distributor& target;
    const follower_options options;
    std::atomic<bool> is_stopping = false;
    std::thread thread;
};

} // namespace samphireway::node
