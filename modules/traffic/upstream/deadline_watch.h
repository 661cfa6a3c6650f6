#pragma once

#include "core/core.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <thread>

namespace samphireway::traffic {

/**
    Interrupts blocking calls at their deadlines.

    The HTTP library supports only one read timeout per call. A watch interrupts a call from another
    thread, so that the first byte, the gaps between bytes and the whole request each have a deadline.

    @see watched_call
*/
class deadline_watch {
public:
    deadline_watch();
    ~deadline_watch();
    deadline_watch(const deadline_watch&) = delete;
    deadline_watch& operator=(const deadline_watch&) = delete;

    /**
        Interrupts all current calls, and later calls as soon as they start. Used when a planned stop
        exceeds its time limit.
    */
    void interrupt_all();

    /** Returns whether `interrupt_all` was called. */
    bool is_interrupted() const;

private:
    friend class watched_call;

    struct record {
        std::mutex mutex;
        std::atomic<core::steady_time> deadline;
        std::function<void()> interrupt; ///< Empty once the call has ended.
        bool is_fired = false;
    };

    void add(const std::shared_ptr<record>& added, core::steady_time time);
    void run();
    static void fire(record& due);

    std::mutex mutex;
    std::condition_variable wake;
    std::multimap<core::steady_time, std::weak_ptr<record>> queue;
    std::atomic<bool> is_interrupting = false;
    bool is_stopping = false;
    std::thread thread;
};

/**
    Watches one call from construction to destruction.

    The `interrupt` function runs at most once, on the watch's thread or inside `interrupt_all`, and not
    after the destructor has returned.

    @see deadline_watch
*/
class watched_call {
public:
    watched_call(deadline_watch& watch, core::steady_time deadline, std::function<void()> interrupt);
    ~watched_call();
    watched_call(const watched_call&) = delete;
    watched_call& operator=(const watched_call&) = delete;

    /** Replaces the deadline. */
    void set_deadline(core::steady_time deadline);

    /** Returns whether the call was interrupted. */
    bool is_interrupted() const;

private:
    deadline_watch& owner;
    std::shared_ptr<deadline_watch::record> state;
    core::steady_time next_check; ///< When the watch checks the deadline next.
};

} // namespace samphireway::traffic
