#pragma once

#include "configuration/configuration.h"
#include "membership/membership.h"
#include "node/membership/leaving_upstreams.h"
#include "node/membership/peer_call_pool.h"
#include "platform/platform.h"
#include "settings/settings.h"

#include <atomic>
#include <functional>
#include <thread>

namespace samphireway::node {

/** Settings and functions that a peer service uses. @see peer_service */
struct peer_service_options {
    settings::node_settings settings;
    std::string incarnation;
    platform::object_store store;
    platform::vm_list read_vms;
    /** Returns the number of requests that are open at upstreams, for heartbeats. */
    std::function<std::int64_t()> requests_in_flight = [] {
        return std::int64_t{0};
    };
    /** Receives a peer's notice of a faulty version; called on a server thread. */
    std::function<void(const Json::Value& notice)> on_version_fault;
    /** Receives a peer's evidence on a move that this node drives; called on a server thread. */
    std::function<void(const Json::Value& evidence)> on_move_evidence;
    /**
        Receives a peer's request for idle grants and returns the released grants; called on a server
        thread.
    */
    std::function<Json::Value(const Json::Value& request)> on_grant_request;
};

/**
    Communicates with the other nodes of the fleet: serves the peer port, sends heartbeats, keeps the
    view of peers, and reads the configuration objects that the distributor requests.

    Without peer keys in the settings it neither listens nor sends, and only reads from the platform.

    @see membership::membership_tracker, configuration::distributor
*/
class peer_service {
public:
    peer_service(peer_service_options options_to_use, configuration::repository& repository_to_use,
                 configuration::distributor& distributor_to_use, leaving_upstreams& leaving_to_use);
    ~peer_service();
    peer_service(const peer_service&) = delete;
    peer_service& operator=(const peer_service&) = delete;

    /** Starts listening and sending heartbeats. Fails when the peer port cannot be bound. */
    core::result<void> start();

    /** Ends all threads. Idempotent. */
    void stop();

    /** Marks this node as leaving in its heartbeats from now on. */
    void start_leaving();

    /** Returns the peers that this node knows, with their states, by node id. */
    membership::peer_view view() const;

    /** Sends a notice of a faulty version to every reachable peer, without waiting for answers. */
    void notify_version_fault(const Json::Value& notice);

    /**
        Sends evidence on a move to the peer with an incarnation, without waiting for the answer. Does
        nothing when no known peer has that incarnation.
    */
    void send_move_evidence(const std::string& incarnation, const Json::Value& evidence);

    /**
        Asks every reachable peer for idle grants. `on_result` gets each answer, on a thread of the call
        pool.
    */
    void request_idle_grants(const Json::Value& request,
                             const std::function<void(const Json::Value&)>& on_result);

    /**
        Asks every peer for a report on its configuration and returns which nodes lag behind, and why.
        Blocks for at most 10 s; peers that have not answered by then are reported as unanswered.
    */
    Json::Value fleet_status();

private:
    void add_methods();
    void run_periodic_tasks();
    void send_heartbeats();
    void read_vm_list();
    Json::Value make_heartbeat();
    void receive_heartbeat(const membership::peer_identity& sender, const Json::Value& received);
    void send_heartbeat(membership::peer_client& client, const membership::peer_endpoint& endpoint);
    void learn_peers(membership::peer_client& client, const membership::peer_endpoint& endpoint);
    void compare_configuration(membership::peer_client& client, const membership::peer_endpoint& endpoint);
    void push_newer_objects(membership::peer_client& client, const membership::peer_endpoint& endpoint,
                            const Json::Value& parts, const Json::Value& generations);
    void start_due_reads();
    void read_object(membership::peer_client& client, const configuration::due_read& read);
    std::optional<membership::peer_endpoint> find_peer(const std::string& id) const;
    void call_live_peers(const membership::peer_call& call,
                         const std::function<void(const Json::Value&)>& on_result);
    Json::Value report(const Json::Value& parameters) const;

    const peer_service_options options;
    configuration::repository& repository;
    configuration::distributor& distributor;
    leaving_upstreams& leaving;
    membership::envelope_writer writer;
    membership::envelope_reader reader;
    membership::membership_tracker tracker;
    membership::peer_server server;
    peer_call_pool calls;
    core::steady_time next_vm_list_read;
    std::atomic<bool> has_learned_peers = false;
    std::atomic<bool> is_stopping = false;
    std::thread thread;
};

} // namespace samphireway::node
