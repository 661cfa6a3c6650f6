#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace samphireway::gateway {

/**
    Splits the bytes of an event stream (`text/event-stream`) at the ends of events.

    Only complete events are forwarded, so that another upstream can continue the stream after the last
    one.
*/
class event_splitter {
public:
    /** Appends received bytes and returns all events that are now complete, byte for byte as received. */
    std::string feed(std::string_view bytes);

    /** Discards the bytes of an incomplete event. */
    void discard_partial();

    /** Returns the bytes after the last complete event. */
    const std::string& partial() const noexcept
    {
        return this->pending;
    }

    /** Returns the id of the last complete event that had one; empty if there was none. */
    const std::string& last_id() const noexcept
    {
        return this->id;
    }

    /** Returns the number of complete events with data so far. Comments and empty lines are no events. */
    std::int64_t count() const noexcept
    {
        return this->events;
    }

private:
    void record_event(std::string_view event);

    std::string pending;
    std::size_t last_line = 0; ///< Start of the last, incomplete line in the pending bytes.
    std::string id;
    std::int64_t events = 0;
};

} // namespace samphireway::gateway
