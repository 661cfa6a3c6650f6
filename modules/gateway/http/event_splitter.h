#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace samphireway::gateway {

/**
    Cuts the bytes of an event stream (`text/event-stream`) at the ends of events.

    Only whole events are passed on, so that a stream can go on at another upstream after the last of them.
*/
class event_splitter {
public:
    /** Takes bytes in and returns all events that are now whole, as received. */
    std::string feed(std::string_view bytes);

    /** Drops the start of an event that did not arrive whole. */
    void drop_partial();

    /** Returns the bytes after the last whole event. */
    const std::string& partial() const noexcept
    {
        return this->pending;
    }

    /** Returns the id of the last whole event that had one. */
    const std::string& last_id() const noexcept
    {
        return this->id;
    }

    /** Returns the number of whole events so far. */
    std::int64_t count() const noexcept
    {
        return this->events;
    }

private:
    void note_event(std::string_view event);

    std::string pending;
    std::string id;
    std::int64_t events = 0;
};

} // namespace samphireway::gateway
