#include "core/threads/event_loop.h"

#include "core/threads/guarded_run.h"

namespace samphireway::core {

event_loop::event_loop() : thread([this] { this->run(); }) {}

event_loop::~event_loop()
{
    this->stop();
}

void event_loop::post(task work)
{
    {
        const std::lock_guard lock(this->mutex);
        this->ready.push_back(std::move(work));
    }
    this->wake.notify_one();
}

void event_loop::post_at(steady_time time, task work)
{
    {
        const std::lock_guard lock(this->mutex);
        this->timed.emplace(time, std::move(work));
    }
    this->wake.notify_one();
}

void event_loop::stop()
{
    {
        const std::lock_guard lock(this->mutex);
        this->is_stopping = true;
    }
    this->wake.notify_one();
    if (this->thread.joinable()) {
        this->thread.join();
    }
}

void event_loop::run()
{
    std::unique_lock lock(this->mutex);
    while (!this->is_stopping) {
        while (!this->timed.empty() && this->timed.begin()->first <= std::chrono::steady_clock::now()) {
            this->ready.push_back(std::move(this->timed.begin()->second));
            this->timed.erase(this->timed.begin());
        }
        if (!this->ready.empty()) {
            const task work = std::move(this->ready.front());
            this->ready.pop_front();
            lock.unlock();
            run_guarded("control", work);
            lock.lock();
            continue;
        }
        if (this->timed.empty()) {
            this->wake.wait(lock);
            continue;
        }
        this->wake.wait_until(lock, this->timed.begin()->first);
    }
}

} // namespace samphireway::core
