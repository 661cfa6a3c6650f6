#pragma once

#include "core/core.h"
#include "membership/messages/replay_window.h"

#include <atomic>
#include <json/json.h>
#include <string>
#include <vector>

namespace samphireway::membership {

/** Sender or receiver of a message: a node and one of its incarnations. @see envelope */
struct peer_identity {
    std::string id;          ///< Node id, or `address:port` of a receiver whose id is not known yet.
    std::string incarnation; ///< Empty when the sender does not know the receiver's incarnation yet.

    bool operator==(const peer_identity&) const = default;
};

/** Method call in a peer message. @see envelope */
struct peer_call {
    std::string method;
    Json::Value parameters;
};

/** An accepted peer message. @see envelope_reader */
struct envelope {
    peer_identity sender;
    peer_identity receiver;
    std::vector<peer_call> calls;
    std::string authentication; ///< HMAC of the message; the HMAC of an answer covers it.
};

/**
    Writes peer messages and signs them with the first of the peer keys. Thread-safe.

    The HMAC covers the sender, the receiver, the counter, the sending time, the content and, for an
    answer, the HMAC of the request. Each field is signed with its length, so that no two messages have
    the same signed text.

    @see envelope_reader
*/
class envelope_writer {
public:
    envelope_writer(peer_identity self, std::vector<std::string> keys, core::clock time);

    /** Returns a signed message that contains calls. */
    Json::Value write(const peer_identity& receiver, const std::vector<peer_call>& calls);

    /** Returns a signed answer to an accepted message. `results` has one result per call. */
    Json::Value write_answer(const envelope& request, const std::vector<Json::Value>& results);

    /** Returns the sender identity of the messages. */
    const peer_identity& identity() const;

private:
    Json::Value sign(const peer_identity& receiver, const std::string& reply_to, Json::Value content);

    const peer_identity self;
    const std::vector<std::string> keys;
    const core::clock time;
    std::atomic<std::uint64_t> counter = 0;
};

/**
    Checks peer messages. Accepts a message once, when it is recent, signed by one of the peer keys and
    addressed to this incarnation. Thread-safe.

    Clocks of nodes differ by seconds, so a message is stale only when its sending time differs from
    this node's clock by more than `maximum_age`. A message without the receiver's incarnation may
    contain only heartbeats, so that a message recorded before a restart cannot be replayed with effect.

    @see envelope_writer
*/
class envelope_reader {
public:
    static constexpr std::chrono::seconds maximum_age{15};

    /**
        `address` is this node's `address:port`. Peers that don't know the node's id address heartbeats
        to it.
    */
    envelope_reader(peer_identity self, std::vector<std::string> keys, core::clock time,
                    std::string address = {});

    /**
        Checks a message and returns its content. Fails with `unauthenticated` when no peer key signed
        it, `forbidden` when it is for another receiver, stale or repeated, or `invalid_argument` when
        malformed.
    */
    core::result<envelope> read(const Json::Value& message);

    /**
        Checks the answer to a message that this node has sent. Returns one result per call and sets
        `responder` to the sender of the answer. Fails as `read` does.
    */
    core::result<std::vector<Json::Value>> read_answer(const Json::Value& message, const Json::Value& request,
                                                       peer_identity& responder);

private:
    core::result<envelope> check(const Json::Value& message, const std::string& reply_to) const;

    const peer_identity self;
    const std::vector<std::string> keys;
    const core::clock time;
    const std::string address;
    replay_window window;
};

/** Method that may be sent to a receiver whose incarnation is not known. @see envelope_reader */
inline constexpr const char* heartbeat_method = "heartbeat";

} // namespace samphireway::membership
