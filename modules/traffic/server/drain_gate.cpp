#include "traffic/server/drain_gate.h"

namespace samphireway::traffic {

drain_gate::drain_gate() : shared(std::make_shared<state>()) {}

std::shared_ptr<void> drain_gate::begin_request()
{
    const std::lock_guard lock(this->shared->mutex);
    if (this->shared->is_refusing) {
        return nullptr;
    }
    ++this->shared->active;
    return {static_cast<void*>(this->shared.get()), [counted = this->shared](void*) {
                const std::lock_guard leaving(counted->mutex);
                --counted->active;
                counted->changed.notify_all();
            }};
}

void drain_gate::refuse_new()
{
    const std::lock_guard lock(this->shared->mutex);
    this->shared->is_refusing = true;
}

bool drain_gate::wait_until_idle(core::steady_time deadline)
{
    std::unique_lock lock(this->shared->mutex);
    this->shared->changed.wait_until(
        lock, deadline, [this] { return this->shared->active == 0 || this->shared->is_interrupted; });
    return this->shared->active == 0;
}

void drain_gate::interrupt()
{
    const std::lock_guard lock(this->shared->mutex);
    this->shared->is_interrupted = true;
    this->shared->changed.notify_all();
}

void drain_gate::resume_waiting()
{
    const std::lock_guard lock(this->shared->mutex);
    this->shared->is_interrupted = false;
}

std::size_t drain_gate::active() const
{
    const std::lock_guard lock(this->shared->mutex);
    return this->shared->active;
}

core::error draining_failure()
{
    constexpr std::chrono::milliseconds retry_after{1000};
    return core::error{.code = core::error_code::draining,
                       .message = "the node is shutting down; send the request to another node",
                       .run = core::verdict::not_run,
                       .retry_after = retry_after};
}

} // namespace samphireway::traffic
