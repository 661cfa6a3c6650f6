#pragma once

#include "gateway/control/object_follower.h"
#include "gateway/model/messages.h"

#include <array>
#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace samphireway::gateway {

/** The kinds of objects that relays pass on. */
enum class feed_kind { configuration, upstreams, members, rollouts, crashes };

inline constexpr std::size_t feed_count = 5;
inline constexpr std::array<feed_kind, feed_count> all_feeds{feed_kind::configuration, feed_kind::upstreams,
                                                             feed_kind::members, feed_kind::rollouts,
                                                             feed_kind::crashes};

/** Returns the name of a kind in messages, logs and metrics. */
std::string_view to_string(feed_kind kind) noexcept;

/** One value for each kind of objects. */
template<typename Value> class per_feed {
public:
    Value& operator[](feed_kind kind)
    {
        return this->values[static_cast<std::size_t>(kind)];
    }

    const Value& operator[](feed_kind kind) const
    {
        return this->values[static_cast<std::size_t>(kind)];
    }

    bool operator==(const per_feed&) const = default;

private:
    std::array<Value, feed_count> values{};
};

/** The position of each kind that a node knows; empty for a kind of which it knows nothing. */
using known_positions = per_feed<std::optional<platform::store_position>>;

/** Asks a relay for everything newer than what the asking node knows. @see relay_reply */
struct relay_poll {
    known_positions known;
    std::chrono::milliseconds wait{0}; ///< Longest time that the relay waits for something newer.
    std::string node = {};             ///< Id of the asking node.
    /** Whether the object API itself has answered the asking node a moment ago. */
    bool is_in_contact = false;
    /** Whether the asking node names the generations of what it knows. Nodes of earlier versions do not. */
    bool names_generations = true;
};

/** What a relay says of one kind of objects. @see relay_reply */
struct feed_status {
    platform::store_position position;
    std::chrono::milliseconds age{0};       ///< Time since the object API answered, to the relay's knowledge.
    std::chrono::milliseconds connected{0}; ///< Time since which the relay's contact is uninterrupted.

    bool operator==(const feed_status&) const = default;
};

/** The answer to a poll. A kind without a status is not known to the relay yet. */
struct relay_reply {
    per_feed<std::optional<feed_status>> status;
    per_feed<std::optional<followed_batch>> news; ///< Batches without `connected_since`.
    /** Ids of some nodes that the object API itself has answered a moment ago. @see contact_book */
    std::vector<std::string> in_contact;
};

/** Path of polls on the internal address. */
inline const std::string relay_path = "/relay";

/** Header field with the JSON form of the status of a reply. @see make_relay_status */
inline const std::string relay_status_header = "Relay-Status";

/** Returns the body of a poll. */
std::string make_relay_poll(const relay_poll& poll);

/** Parses the body of a poll. Fails with `invalid_argument`. */
core::result<relay_poll> parse_relay_poll(const std::string& body);

/** Returns the value of the status header of a reply. */
std::string make_relay_status(const per_feed<std::optional<feed_status>>& status,
                              const std::vector<std::string>& in_contact);

/** Returns the body of a reply, compressed; empty without news. */
std::string make_relay_news(const per_feed<std::optional<followed_batch>>& news);

/** Parses a reply from its status header and body. Fails with `invalid_argument`. */
core::result<relay_reply> parse_relay_reply(const std::string& status, const std::string& body);

} // namespace samphireway::gateway
