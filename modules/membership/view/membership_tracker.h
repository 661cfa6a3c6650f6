#pragma once

#include "membership/messages/heartbeat.h"
#include "membership/view/peer_view.h"

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace samphireway::membership {

/** Options of a tracker. @see membership_tracker */
struct tracker_options {
    peer_facts self;
    std::vector<peer_endpoint> seeds;    ///< Called while no peer is known; each id is `address:port`.
    std::size_t ring_neighbours = 2;     ///< Next peers in the ring that are called every interval.
    std::size_t random_peers = 1;        ///< Other peers, chosen at random, that are called every interval.
    std::size_t rumours_per_message = 2; ///< Two keep a message with its headers below about 900 bytes.
    std::uint64_t random_seed = 0;
    std::function<std::string()> configuration_digest = [] {
        return std::string();
    };
    std::function<std::int64_t()> requests_in_flight = [] {
        return std::int64_t{0};
    };
};

/**
    Consecutive failed calls after which a peer is suspect. One failure of a replaced connection is
    common.
*/
inline constexpr int failures_until_suspect = 2;

/**
    Collects evidence about peers from heartbeats, the outcomes of calls, rumours and the list of VMs.

    A rumour is a peer's state that nodes pass on to each other, as in gossip protocols.

    Nodes form a ring, ordered by the hashes of their ids. In every interval each node calls the next
    two peers and a random one, so the number of its calls does not grow with the fleet. Heartbeats
    carry changes of state as rumours. Each node repeats a rumour a number of times that grows with the
    logarithm of the fleet's size. Thread-safe.

    @see build_view
*/
class membership_tracker {
public:
    explicit membership_tracker(tracker_options options);

    /** Records a reading of the VM list. Ignores one with an older revision than the last. */
    void observe_vms(const platform::vm_list_reading& reading, core::steady_time now);

    /** Records a heartbeat of an authenticated sender, which came in a message or an answer. */
    void observe_heartbeat(const peer_identity& sender, const heartbeat& received, core::steady_time now);

    /** Records whether a peer answered a call of this node. */
    void observe_call(const std::string& peer_id, bool has_answered, core::steady_time now);

    /**
        Records the list of peers that a joining node receives from another. They are not passed on as
        rumours.
    */
    void learn_peers(const std::vector<rumour>& peers, core::steady_time now);

    /** Returns the next heartbeat to send. Each call counts as one repetition of the rumours in it. */
    heartbeat next_heartbeat();

    /** Returns the peers to call in this interval. Call once per interval. */
    std::vector<peer_endpoint> targets(core::steady_time now);

    /** Returns the view of peers. */
    peer_view view(core::steady_time now) const;

    /**
        Returns this node and the peers that are neither gone nor joining, as a list for a joining node.
    */
    std::vector<rumour> known_peers(core::steady_time now) const;

    /** Announces in later heartbeats that this node is leaving. */
    void start_leaving();

private:
    struct pending_rumour {
        rumour content;
        int repetitions = 0; ///< Heartbeats that are still to carry it.
    };

    view_inputs inputs() const;
    peer_evidence& evidence_of(const peer_facts& facts, core::steady_time now);
    void mark_suspect(peer_evidence& evidence, core::steady_time now);
    void enqueue_rumour(const peer_evidence& evidence, peer_state state);
    void observe_rumour(const rumour& received, core::steady_time now);
    void remove_gone(core::steady_time now);
    int rumour_repetitions() const;

    const tracker_options options;
    mutable std::mutex mutex;
    std::mt19937_64 random;
    std::map<std::string, peer_evidence> evidence;         ///< By incarnation.
    std::map<std::string, int> failed_calls;               ///< Consecutive failed calls, by node id.
    std::map<std::string, pending_rumour> pending_rumours; ///< By incarnation.
    std::optional<vm_evidence> vms;
    std::uint64_t revision = 0;
    std::uint64_t intervals = 0;
    bool is_leaving = false;
};

} // namespace samphireway::membership
