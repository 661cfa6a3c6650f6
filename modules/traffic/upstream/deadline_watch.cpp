#include "traffic/upstream/deadline_watch.h"

#include <vector>

namespace samphireway::traffic {

deadline_watch::deadline_watch() : thread([this] { this->run(); }) {}

deadline_watch::~deadline_watch()
{
    {
        const std::lock_guard lock(this->mutex);
        this->is_stopping = true;
    }
    this->wake.notify_one();
    this->thread.join();
}

void deadline_watch::interrupt_all()
{
    std::vector<std::shared_ptr<record>> running;
    {
        const std::lock_guard lock(this->mutex);
        this->is_interrupting = true;
        for (const auto& [time, entry] : this->queue) {
            if (std::shared_ptr<record> live = entry.lock()) {
                running.push_back(std::move(live));
            }
        }
    }
    for (const std::shared_ptr<record>& live : running) {
        fire(*live);
    }
}

bool deadline_watch::is_interrupted() const
{
    return this->is_interrupting;
}

void deadline_watch::add(const std::shared_ptr<record>& added, core::steady_time time)
{
    {
        const std::lock_guard lock(this->mutex);
        this->queue.emplace(this->is_interrupting ? core::steady_time{} : time, added);
        if (this->is_interrupting) {
            added->deadline = core::steady_time{};
        }
    }
    this->wake.notify_one();
}

void deadline_watch::fire(record& due)
{
    const std::lock_guard lock(due.mutex);
    if (due.interrupt) {
        due.is_fired = true;
        due.interrupt();
        due.interrupt = nullptr;
    }
}

void deadline_watch::run()
{
    std::unique_lock lock(this->mutex);
    while (!this->is_stopping) {
        if (this->queue.empty()) {
            this->wake.wait(lock);
            continue;
        }
        const core::steady_time next = this->queue.begin()->first;
        if (next > std::chrono::steady_clock::now()) {
            this->wake.wait_until(lock, next);
            continue;
        }
        const std::shared_ptr<record> due = this->queue.begin()->second.lock();
        this->queue.erase(this->queue.begin());
        if (!due) {
            continue;
        }
        const core::steady_time deadline = due->deadline;
        if (deadline > std::chrono::steady_clock::now()) {
            this->queue.emplace(deadline, due);
            continue;
        }
        lock.unlock();
        fire(*due);
        lock.lock();
    }
}

watched_call::watched_call(deadline_watch& watch, core::steady_time deadline, std::function<void()> interrupt)
    : owner(watch), state(std::make_shared<deadline_watch::record>()), next_check(deadline)
{
    this->state->deadline = deadline;
    this->state->interrupt = std::move(interrupt);
    this->owner.add(this->state, deadline);
}

watched_call::~watched_call()
{
    const std::lock_guard lock(this->state->mutex);
    this->state->interrupt = nullptr;
}

void watched_call::set_deadline(core::steady_time deadline)
{
    this->state->deadline = deadline;
    if (deadline < this->next_check) {
        this->next_check = deadline;
        this->owner.add(this->state, deadline);
    }
}

bool watched_call::is_interrupted() const
{
    const std::lock_guard lock(this->state->mutex);
    return this->state->is_fired;
}

} // namespace samphireway::traffic
