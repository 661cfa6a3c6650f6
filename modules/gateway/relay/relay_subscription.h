#pragma once

#include "gateway/model/member.h"
#include "gateway/relay/object_feed.h"
#include "gateway/relay/relay_messages.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace samphireway::gateway {

/** Options and hooks of a subscription. @see relay_subscription */
struct relay_subscription_options {
    /** Longest time that a relay waits for something newer. Bounds how late its silence is noticed. */
    std::chrono::milliseconds poll_wait{400};
    /** Time after the wait within which an answer must arrive. */
    std::chrono::milliseconds answer_timeout{300};
    /** A relay that last heard from the object API longer ago than this is not current. */
    std::chrono::milliseconds maximum_age{1600};

    /** Sends a poll. Calls the handler on the control thread, once, by the deadline. */
    std::function<void(const member& relay, const relay_poll& poll, core::steady_time deadline,
                       std::function<void(core::result<relay_reply>)> on_reply)>
        send;
    /** Returns the poll to send, without its wait. */
    std::function<relay_poll()> make_poll;
    /** Takes over a batch that a relay has sent, after the contact of the same reply. */
    std::function<void(feed_kind kind, const followed_batch& batch)> on_batch;
    /** Receives the ids of nodes that are in contact with the object API. */
    std::function<void(const std::vector<std::string>& nodes)> on_in_contact;
    /** Receives the relay's contact with the object API. */
    std::function<void(feed_kind kind, const store_contact& contact)> on_contact;
    core::clock time = {};
};

/**
    Follows the object API through other nodes: polls one candidate after the other, without pause, and
    leaves one that fails, falls silent or is no longer current for the next.

    A relay whose store is of an earlier generation than this node knows, or that names no generation while
    the store does, is not current: its revisions cannot be compared.

    A candidate that was left is asked again after a pause that doubles with each failure. A better
    candidate is preferred again as soon as its pause is over. Control thread only.

    @see order_relays, relay_hub
*/
class relay_subscription {
public:
    explicit relay_subscription(relay_subscription_options options_to_use)
        : options(std::move(options_to_use))
    {
    }

    /** Replaces the candidates, best first. */
    void set_candidates(std::vector<member> candidates_to_use);

    /** Starts a poll if none is in progress and `should_poll`. Call this periodically. */
    void tick(bool should_poll);

    /** Returns whether a relay's knowledge is current now. Otherwise the node must ask the object API. */
    bool is_current() const;

    /** Returns the id of the relay that answered last and was current; empty if there is none. */
    const std::string& source() const noexcept
    {
        return this->source_id;
    }

    /** Returns how often the source has changed. */
    std::uint64_t switches() const noexcept
    {
        return this->switch_count;
    }

private:
    struct candidate_state {
        core::steady_time skipped_until;
        std::chrono::milliseconds next_pause{0};
    };

    const member* choose(core::steady_time now);
    void poll();
    void on_reply(const member& relay, const known_positions& asked, const core::result<relay_reply>& reply);
    void apply(const member& relay, const relay_reply& reply, const known_positions& asked,
               core::steady_time now);
    std::chrono::milliseconds age_of(const relay_reply& reply, const known_positions& asked) const;
    void on_failure(const member& relay, std::string_view reason, std::chrono::milliseconds maximum_pause);
    void set_source(const std::string& id, std::string_view reason);

    const relay_subscription_options options;
    std::vector<member> candidates;
    std::map<std::string, candidate_state> states; ///< By process, so that a restarted node starts afresh.
    core::steady_time current_until;
    std::string source_id;
    std::uint64_t switch_count = 0;
    bool is_polling = false;
    bool is_wanted = false;
};

} // namespace samphireway::gateway
