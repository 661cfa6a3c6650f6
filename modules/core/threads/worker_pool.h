#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>

namespace samphireway::core {

/** Options of a worker pool. @see worker_pool */
struct worker_pool_options {
    std::size_t maximum_threads = 64;
    std::size_t maximum_queued = 1024; ///< Tasks that may wait when all threads are busy.
    /** Runs a function on a new thread, or throws std::system_error. The default detaches the thread. */
    std::function<void(std::function<void()>)> start_thread = {};
};

/**
    Runs blocking tasks on threads that are started on demand and end after a minute without work.

    An idle pool has no threads, so a node can allow thousands of slow callers at no cost while there
    are none.

    @see event_loop
*/
class worker_pool {
public:
    explicit worker_pool(worker_pool_options options);

    /** Waits until running and queued tasks have ended. */
    ~worker_pool();
    worker_pool(const worker_pool&) = delete;
    worker_pool& operator=(const worker_pool&) = delete;

    /** Runs a task when a thread is free. Returns false if the queue is full, the pool is shut down, or no
     * thread runs and none can be started. */
    bool submit(std::function<void()> work);

    /** Refuses further tasks and waits for those already submitted. Idempotent. */
    void shutdown();

    /** Returns the number of threads, including idle ones. */
    std::size_t thread_count() const;

private:
    void run();
    bool try_start_thread();

    const worker_pool_options options;
    mutable std::mutex mutex;
    std::condition_variable wake;
    std::condition_variable ended;
    std::deque<std::function<void()>> queue;
    std::size_t threads = 0;
    std::size_t idle_threads = 0;
    bool is_closed = false;
};

} // namespace samphireway::core
