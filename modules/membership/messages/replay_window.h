#pragma once

#include "core/core.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace samphireway::membership {

/**
    Records which message counters of each sender incarnation were accepted, to detect replays.
    Thread-safe.

    A sender has one counter for all receivers, and its threads may send out of order. So the window
    covers the highest accepted counter and the 63 below it, as in IPsec. Older counters are refused.

    @see envelope_reader
*/
class replay_window {
public:
    /** Returns whether a counter is accepted: it must be new and not below the window. */
    bool accept(const std::string& sender_incarnation, std::uint64_t counter, core::wall_time now);

    /** Removes senders whose last message came before `oldest`; their messages are refused as stale. */
    void remove_senders_before(core::wall_time oldest);

    /** Returns the number of sender incarnations with a window. */
    std::size_t size() const;

private:
    struct sender_state {
        std::uint64_t highest = 0; ///< Highest accepted counter.
        std::uint64_t seen = 0;    ///< Bit n is set when the counter `highest - n` was accepted.
        core::wall_time last;      ///< Time of the last message.
    };

    mutable std::mutex mutex;
    std::map<std::string, sender_state> senders;
};

} // namespace samphireway::membership
