#pragma once

#include <cstddef>
#include <functional>
#include <map>

namespace samphireway::gateway {

/**
    Bounds the memory of all incomplete messages of one kind that a node keeps, whatever its peers send.

    When the sum exceeds the limit, the largest messages are given up: a peer in trouble sends without end, or
    much, while ordinary messages are small and stay. Traffic thread only.

    @see exchange, front_session
*/
class memory_account {
public:
    /** Identifies the message that is kept. */
    using owner = const void*;

    /** @param limit_to_use largest sum of all kept bytes */
    explicit memory_account(std::size_t limit_to_use) : limit(limit_to_use) {}

    /**
        Sets the number of bytes that are kept for an owner, and gives up the largest messages while the sum
        exceeds the limit.

        @param give_up frees the message of this owner; called by a later `keep` of another owner, after the
                       owner's bytes have been taken off the sum. Without it the message counts and is never
                       given up for another one.
        @returns whether the owner may keep its bytes. If not, its own message is the largest one that can be
                 given up, and its bytes are taken off the sum.
    */
    bool keep(owner kept_for, std::size_t bytes, std::function<void()> give_up);

    /** Ends the use of memory by an owner. Does nothing if it keeps none. */
    void release(owner kept_for);

    /** Returns whether the sum has reached the limit. */
    bool is_full() const noexcept
    {
        return this->sum >= this->limit;
    }

    /** Returns the sum of all kept bytes. */
    std::size_t total() const noexcept
    {
        return this->sum;
    }

private:
    struct kept_message {
        std::size_t bytes = 0;
        std::function<void()> give_up;
    };

    std::map<owner, kept_message>::iterator find_largest();

    const std::size_t limit;
    std::size_t sum = 0;
    std::map<owner, kept_message> messages;
};

} // namespace samphireway::gateway
