#pragma once

#include "core/time/clock.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

namespace samphireway::core {

/**
    The control thread: runs posted tasks in order, and timed tasks when they are due.

    All control state is read and changed from tasks of this loop. A task must not block: it submits a
    blocking call to a `worker_pool`, and that call posts its result back to the loop.

    @see worker_pool
*/
class event_loop {
public:
    using task = std::function<void()>;

    event_loop();
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    /** Queues a task. May be called from any thread. */
    void post(task work);

    /** Queues a task to run at or after `time`. May be called from any thread. */
    void post_at(steady_time time, task work);

    /** Waits for the running task and ends the thread. Drops queued tasks. Idempotent. */
    void stop();

private:
    void run();

    std::mutex mutex;
    std::condition_variable wake;
    std::deque<task> ready;
    std::multimap<steady_time, task> timed;
    bool is_stopping = false;
    std::thread thread;
};

} // namespace samphireway::core
