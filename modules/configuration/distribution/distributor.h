#pragma once

#include "configuration/repository/repository.h"
#include "core/core.h"
#include "platform/objects/object_store.h"

#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace samphireway::configuration {

/** A read of one object that the owner of a distributor has to perform now. @see distributor */
struct due_read {
    std::string key;  ///< Key of the object.
    std::string peer; ///< Id of the peer to read from; empty to read from the platform.
};

/** Options of a distributor. @see distributor */
struct distributor_options {
    /** Time that the watch has to deliver a change before the object is read explicitly. */
    std::chrono::milliseconds watch_allowance{300};
    /** Time between two reads of an object whose newer generation has not arrived. */
    std::chrono::milliseconds retry_interval{500};
    /** Time for which heartbeats announce a change to peers. */
    std::chrono::seconds announcement_period{5};
    /** Changes that one heartbeat announces; the digest covers the others. */
    std::size_t maximum_announced_changes = 4;
    /** Time without an accepted change, and between two comparisons, before a differing digest of a
        peer leads to a comparison of generations. */
    std::chrono::seconds quiet_period{2};
    /** Peers whose objects must all be read before a node may serve without the platform; 0: it must
        not. */
    std::size_t catch_up_peers = 0;
    /** Id of this node in log lines. */
    std::string self;
};

/**
    Brings the newest configuration into force at this node: decides which objects to read, from where
    and when.

    Changes normally arrive through the platform's watch. Heartbeats announce recent changes by key
    and generation, and carry a digest of all generations in force. An object with a newer generation
    elsewhere is read from the platform, or from a peer that has it while the platform is down, slow
    or behind. The repository decides on acceptance: it takes only higher generations, whatever the
    source. This class holds no connections; its owner performs the reads. It is thread-safe.

    Start rule: a node serves callers only after a complete listing of the platform or, while the
    platform does not answer, after it has read everything that `catch_up_peers` peers have. The owner
    sets this number to a majority of the configured peers, so that the node does not serve from a
    minority that missed an edit.

    @see repository
*/
class distributor {
public:
    distributor(repository& target, distributor_options options);

    /** Offers the objects of a listing or a watch result to the repository. An object that was
        removed from the platform stays in force, because a removal carries no generation. */
    void observe_batch(const platform::watch_batch& batch, core::steady_time now);

    /** Records whether the platform answered a watch or list call. */
    void observe_platform(bool has_answered, core::steady_time now);

    /** Records that all objects of the platform were offered once. */
    void mark_listing_complete();

    /** Offers an object read from a peer, or from the platform when `peer` is empty, to the
        repository and returns the outcome. */
    acceptance receive(const std::string& key, const Json::Value& value, const std::string& peer,
                       core::steady_time now);

    /** Returns the most recent accepted changes as a list of key and generation, for heartbeats to
        peers. */
    Json::Value describe_recent_changes(core::steady_time now);

    /** Schedules reads of the objects that a peer announced with a newer generation. */
    void observe_recent_changes(const std::string& peer, const Json::Value& changes, core::steady_time now);

    /** Compares a peer's digest with this node's; returns whether their generations should be
        compared now. */
    bool observe_digest(const std::string& peer, std::uint64_t digest, core::steady_time now);

    /** Returns the digest of each part of the configuration, for a peer whose whole digest differs. */
    Json::Value describe_parts() const;

    /** Returns the generations in force, by key, of the objects in some parts; `parts` lists their
        numbers. */
    Json::Value describe_generations(const Json::Value& parts) const;

    /** Returns the numbers of the parts whose digest differs from a peer's result of
        `describe_parts`. */
    Json::Value find_different_parts(const Json::Value& description) const;

    /** Schedules reads of the objects that a peer has in a newer generation. `generations` must cover
        all parts that differ: the peer counts for the start rule once these objects were read. */
    void observe_generations(const std::string& peer, const Json::Value& generations, core::steady_time now);

    /** Returns the reads to perform now. A read whose result is not passed to `receive` is returned
        again after the retry interval. */
    std::vector<due_read> take_due_reads(core::steady_time now);

    /** Returns whether this node may serve callers by the start rule. */
    bool is_ready() const;

    /** Returns whether the platform answered in the last 5 seconds and no call failed since. */
    bool is_platform_healthy(core::steady_time now) const;

    /** Returns whether a change was accepted from a peer since the last call; the owner then sends a
        heartbeat at once to pass it on. */
    bool take_change_from_peer();

    /** Returns why this node may lag: whether the platform answers, and which objects are newer
        elsewhere, were rejected, or were removed from the platform. */
    Json::Value lag_report(core::steady_time now) const;

    /** Returns the platform revision up to which changes were received. */
    platform::object_version revision() const;

private:
    /** An object that has a newer generation elsewhere and is still to be read. */
    struct pending_object {
        generation minimum_generation = 0; ///< Lowest generation that completes the read.
        core::steady_time next_read;
        std::set<std::string> peers;  ///< Peers that have the minimum generation.
        bool is_platform_next = true; ///< Whether the next read asks the platform rather than a peer.
        std::uint64_t peer_reads = 0; ///< Reads from peers so far; selects the next peer.
    };

    struct recent_change {
        std::string key;
        generation in_force = 0;
        core::steady_time accepted_at;
    };

    void schedule_read(const std::string& key, generation offered, const std::string& peer,
                       core::steady_time now);
    bool has_read_everything_of(const std::string& peer) const;
    bool has_answered_recently(core::steady_time now) const;

    repository& target;
    const distributor_options options;
    mutable std::mutex mutex;
    std::map<std::string, pending_object> pending;
    std::deque<recent_change> recent_changes; ///< Newest first.
    std::set<std::string> compared_peers;
    std::set<std::string> removed_keys;
    platform::object_version seen_revision = 0;
    std::optional<core::steady_time> last_platform_answer;
    std::optional<core::steady_time> platform_failing_since;
    std::optional<core::steady_time> last_change;
    std::optional<core::steady_time> last_comparison;
    bool is_listed = false;
    bool has_change_from_peer = false;
};

} // namespace samphireway::configuration
