#pragma once

#include "gateway/control/configuration_tracker.h"
#include "gateway/control/contact_chain.h"
#include "gateway/control/member_tracker.h"
#include "gateway/control/object_follower.h"
#include "gateway/control/upstream_tracker.h"
#include "gateway/exchange/blackboard.h"
#include "gateway/relay/relay_hub.h"
#include "gateway/relay/relay_order.h"
#include "gateway/relay/relay_subscription.h"
#include "gateway/rollout/rollout_tracker.h"

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace samphireway::gateway {

/** Options of a fleet view. @see fleet_view */
struct fleet_view_options {
    platform::object_store store;
    std::string configuration_key; ///< Key of the object that holds the configuration.
    std::string upstreams_prefix;  ///< Key prefix of the objects in which upstreams register.
    std::string rollouts_prefix;   ///< Key prefix of the operator's roll-out orders.
    configuration_reader read_configuration;
    upstream_reader read_upstream;
    rollout_reader read_rollout;
    std::chrono::milliseconds watch_wait{0}; ///< Longest wait of a watch call of a node without relays.
    std::size_t maximum_ledger_writers = 0;  ///< Largest number of nodes that draw from the ledgers.
    relay_order_options relays;
    relay_subscription_options subscription; ///< Without the hooks, but for `send`.
    blackboard& board;
    std::function<void(std::function<void()>)> run_control;     ///< Runs a task on the control thread.
    std::function<void(const configuration&)> on_configuration; ///< Called on the control thread.
    std::function<void(const followed_batch&)> on_crashes;      ///< Called on the control thread.
    /** Receives the first list of nodes after the object API was restored from a backup. Called on the
     * control thread. */
    std::function<void(const followed_batch& members)> on_restore;
    /** Receives the generation of each batch, whoever sent it. Called on the control thread. */
    std::function<void(std::uint64_t generation)> on_generation;
    core::clock time = {};
};

/**
    Knows the configuration, the upstreams and the nodes as the object API holds them, and publishes them
    on the blackboard.

    What the object API forgets when it is restored from a backup stays known where it cannot be undone: each
    tracker decides that for its kind of objects, by `followed_batch::is_after_restore`.

    In a large fleet a few relays watch the object API and the other nodes poll these. A node whose relays
    are not current watches the object API itself until they are again. Whoever sends a batch, it is
    applied only if it is newer than what is known. All state is the control thread's; each follower calls on
    its own thread.

    @see object_follower, relay_subscription, relay_hub
*/
class fleet_view {
public:
    explicit fleet_view(fleet_view_options options_to_use);

    /** Starts the followers. */
    void start();

    /** Stops the followers. The owner of the store must interrupt waiting calls first. Idempotent. */
    void stop();

    /** Chooses the sources, removes upstreams whose entries have been missing for too long, and answers
     * polls whose wait has ended. Call this periodically. Control thread only. */
    void tick();

    /** Returns the answers to other nodes' polls. Control thread only. */
    relay_hub& hub() noexcept
    {
        return this->relay;
    }

private:
    /** One kind of objects: its follower and what both threads of it share. */
    struct source_state {
        std::unique_ptr<object_follower> follower;
        bool is_lost = false;     ///< Whether the follower's last call failed.
        bool is_answered = false; ///< Whether a call of the follower was ever answered.
        std::mutex mutex;
        std::optional<platform::store_position> known_position; ///< Guarded by the mutex.
        bool holds_partial_list = false;                        ///< Guarded by the mutex.
    };

    relay_subscription_options make_subscription_options();
    void make_follower(feed_kind kind, const std::string& prefix);
    follower_pace pace_of(feed_kind kind) const;
    void on_store_batch(feed_kind kind, followed_batch received);
    void on_cut(feed_kind kind, core::steady_time from, core::steady_time until);
    void on_store_failure(feed_kind kind, const core::error& failure);
    void accept(feed_kind kind, const followed_batch& received);
    void log_ignored(feed_kind kind, const followed_batch& received) const;
    void apply_restored(feed_kind kind, const platform::store_position& before, followed_batch received);
    void apply(feed_kind kind, const followed_batch& received);
    void choose_sources();
    void update_connection();
    bool is_connected() const;
    bool is_in_contact() const;
    void set_candidates();

    const fleet_view_options options;
    configuration_tracker configurations;
    upstream_tracker upstreams;
    member_tracker members;
    rollout_tracker rollouts;
    per_feed<object_feed> feeds;
    contact_book contacts;
    contact_chain store_contacts; ///< This node's own contact with the object API.
    relay_hub relay{this->feeds, this->contacts};
    relay_subscription subscription;
    per_feed<source_state> sources;
    relay_order order;
    std::vector<std::string> published_contacts;
    std::atomic<bool> is_relay = true; ///< Also read by the followers' threads.
    std::atomic<bool> is_in_large_fleet = false;
    bool was_connected = true;
};

} // namespace samphireway::gateway
