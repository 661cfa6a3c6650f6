#pragma once

#include <cstddef>
#include <functional>
#include <map>

namespace samphireway::gateway {

/**
    Bounds the memory of all incomplete responses that a node keeps, whatever their upstreams send.

    When the sum exceeds the limit, the largest responses are given up: an upstream in trouble sends
    without end, while the responses of sound upstreams are small and stay. Traffic thread only.

    @see exchange
*/
class response_memory {
public:
    /** Identifies the request whose response is kept. */
    using owner = const void*;

    /** @param limit_to_use largest sum of all kept bytes */
    explicit response_memory(std::size_t limit_to_use) : limit(limit_to_use) {}

    /**
        Sets the number of bytes that are kept for an owner, and gives up the largest responses while the
        sum exceeds the limit.

        @param give_up frees the response of this owner; called by a later `keep` of another owner, after
                       the owner's bytes have been taken off the sum
        @returns whether the owner may keep its bytes. If not, its own response is the largest one.
    */
    bool keep(owner kept_for, std::size_t bytes, std::function<void()> give_up);

    /** Ends the use of memory by an owner. Does nothing if it keeps none. */
    void release(owner kept_for);

    /** Returns the sum of all kept bytes. */
    std::size_t total() const noexcept
    {
        return this->sum;
    }

private:
    struct kept_response {
        std::size_t bytes = 0;
        std::function<void()> give_up;
    };

    const std::size_t limit;
    std::size_t sum = 0;
    std::map<owner, kept_response> responses;
};

} // namespace samphireway::gateway
