#pragma once

#include <memory>
#include <mutex>
#include <shared_mutex>

namespace samphireway::core {

/**
    One entry of the blackboard: an immutable value that one controller replaces and any thread reads.

    A reader shares ownership of the value that it read, which stays valid after a replacement.
*/
template<typename Value> class published {
public:
    explicit published(std::shared_ptr<const Value> initial) : current(std::move(initial)) {}

    /** Returns the latest value; never null when the initial value was not. */
    std::shared_ptr<const Value> read() const
    {
        const std::shared_lock lock(this->mutex);
        return this->current;
    }

    /** Replaces the value. */
    void publish(std::shared_ptr<const Value> next)
    {
        const std::unique_lock lock(this->mutex);
        this->current.swap(next);
    }

private:
    mutable std::shared_mutex mutex;
    std::shared_ptr<const Value> current;
};

} // namespace samphireway::core
