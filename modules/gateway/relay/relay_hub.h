#pragma once

#include "gateway/relay/contact_book.h"
#include "gateway/relay/object_feed.h"
#include "gateway/relay/relay_messages.h"

#include <functional>
#include <list>
#include <string>

namespace samphireway::gateway {

/** The encoded answer to a poll. @see relay_messages.h */
struct encoded_reply {
    std::string status; ///< Value of the status header.
    std::string news;   ///< Body.
};

/**
    Answers the polls of other nodes from this node's feeds. Control thread only.

    A poll is answered at once if there is something newer than the asking node knows, otherwise when
    something newer arrives or its wait ends. Any node answers polls; the age in the status tells how
    current its knowledge is.

    @see object_feed, relay_subscription
*/
class relay_hub {
public:
    using answer_handler = std::function<void(const encoded_reply& reply)>;

    relay_hub(const per_feed<object_feed>& feeds_to_use, contact_book& contacts_to_use)
        : feeds(feeds_to_use), contacts(contacts_to_use)
    {
    }

    /** Answers a poll, at once or later. Fails with `overloaded` if too many polls are waiting. */
    core::result<void> poll(const relay_poll& request, core::steady_time now, answer_handler on_answer);

    /** Answers the waiting polls for which there is something newer. Call this after a feed has changed. */
    void publish(core::steady_time now);

    /** Answers the waiting polls whose wait has ended. Call this periodically. */
    void expire(core::steady_time now);

    /** Returns the number of waiting polls. */
    std::size_t waiting() const noexcept
    {
        return this->waiters.size();
    }

private:
    struct waiter {
        known_positions known;
        core::steady_time deadline;
        answer_handler on_answer;
    };

    known_positions read_known(const relay_poll& request) const;
    bool has_news(const known_positions& known) const;
    encoded_reply encode(const known_positions& known, core::steady_time now);
    const std::string& encode_news(const known_positions& known);
    known_positions current() const;

    const per_feed<object_feed>& feeds;
    contact_book& contacts;
    std::list<waiter> waiters;

    // The nodes of a zone mostly lack the same changes, so the last encoding serves most of them.
    known_positions encoded_known;
    known_positions encoded_current;
    std::string encoded_news;
};

} // namespace samphireway::gateway
