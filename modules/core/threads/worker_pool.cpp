#include "core/threads/worker_pool.h"

#include "core/log/log.h"
#include "core/threads/guarded_run.h"

#include <chrono>
#include <system_error>
#include <thread>
#include <utility>

namespace samphireway::core {

namespace {

constexpr std::chrono::seconds idle_thread_lifetime{60};

void start_detached_thread(std::function<void()> function)
{
    std::thread(std::move(function)).detach();
}

worker_pool_options with_default_start(worker_pool_options options)
{
    if (!options.start_thread) {
        options.start_thread = start_detached_thread;
    }
    return options;
}

} // namespace

worker_pool::worker_pool(worker_pool_options options_to_use)
    : options(with_default_start(std::move(options_to_use)))
{
}

worker_pool::~worker_pool()
{
    this->shutdown();
}

bool worker_pool::submit(std::function<void()> work)
{
    const std::lock_guard lock(this->mutex);
    if (this->is_closed) {
        return false;
    }
    const bool has_free_thread = this->idle_threads > this->queue.size();
    const bool may_start_thread = this->threads < this->options.maximum_threads;
    if (!has_free_thread && !may_start_thread && this->queue.size() >= this->options.maximum_queued) {
        return false;
    }
    this->queue.push_back(std::move(work));
    if (!has_free_thread && may_start_thread && !this->try_start_thread()) {
        // A thread that runs takes the task when it is free.
        const bool can_wait = this->threads > 0 && this->queue.size() <= this->options.maximum_queued;
        if (!can_wait) {
            this->queue.pop_back();
            return false;
        }
    }
    this->wake.notify_one();
    return true;
}

bool worker_pool::try_start_thread()
{
    try {
        this->options.start_thread([this] { this->run(); });
    }
    catch (const std::system_error& error) {
        log_event(log_level::error, "thread_not_started", {{"thread", "worker"}, {"reason", error.what()}});
        return false;
    }
    ++this->threads;
    return true;
}

void worker_pool::shutdown()
{
    std::unique_lock lock(this->mutex);
    this->is_closed = true;
    this->wake.notify_all();
    this->ended.wait(lock, [this] { return this->threads == 0; });
}

std::size_t worker_pool::thread_count() const
{
    const std::lock_guard lock(this->mutex);
    return this->threads;
}

void worker_pool::run()
{
    std::unique_lock lock(this->mutex);
    while (true) {
        if (this->queue.empty() && !this->is_closed) {
            ++this->idle_threads;
            const bool woken = this->wake.wait_for(
                lock, idle_thread_lifetime, [this] { return this->is_closed || !this->queue.empty(); });
            --this->idle_threads;
            if (!woken) {
                break;
            }
        }
        if (this->queue.empty()) {
            break;
        }
        const std::function<void()> work = std::move(this->queue.front());
        this->queue.pop_front();
        lock.unlock();
        run_guarded("worker", work);
        lock.lock();
    }
    --this->threads;
    // Notifies while the mutex is locked: once the last thread unlocks it, the pool may be destroyed.
    this->ended.notify_all();
}

} // namespace samphireway::core
