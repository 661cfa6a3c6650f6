#include "gateway/control/object_follower.h"

#include <algorithm>

namespace samphireway::gateway {

object_follower::object_follower(follower_options options_to_use)
    : options(std::move(options_to_use)), next_retry_delay(this->options.initial_retry_delay)
{
}

object_follower::~object_follower()
{
    this->stop();
}

void object_follower::start()
{
    this->thread = std::thread([this] { this->run(); });
}

void object_follower::stop()
{
    this->is_stopping = true;
    this->wake.notify_all();
    if (this->thread.joinable()) {
        this->thread.join();
    }
}

void object_follower::run()
{
    while (!this->is_stopping) {
        core::result<followed_batch> next = this->read_next();
        if (next) {
            this->is_listed = true;
            this->revision = next->batch.revision;
            this->next_retry_delay = this->options.initial_retry_delay;
            this->options.on_batch(std::move(*next));
            this->pause(this->options.minimum_interval);
            continue;
        }
        if (this->is_stopping) {
            return;
        }
        this->options.on_failure(next.error());
        if (next.error().code == core::error_code::history_gone) {
            this->is_listed = false;
            continue;
        }
        this->pause(this->next_retry_delay);
        this->next_retry_delay = std::min(this->next_retry_delay * 2, this->options.maximum_retry_delay);
    }
}

core::result<followed_batch> object_follower::read_next()
{
    core::result<platform::watch_batch> batch =
        this->is_listed
            ? this->options.store.watch(this->options.prefix, this->revision,
                                        std::chrono::steady_clock::now() + this->options.watch_wait)
            : this->options.store.list(this->options.prefix);
    if (!batch) {
        return tl::unexpected(batch.error());
    }
    return followed_batch{.batch = std::move(*batch), .is_full_list = !this->is_listed};
}

void object_follower::pause(std::chrono::milliseconds length)
{
    if (length.count() == 0) {
        return;
    }
    std::unique_lock lock(this->mutex);
    this->wake.wait_for(lock, length, [this] { return this->is_stopping.load(); });
}

} // namespace samphireway::gateway
