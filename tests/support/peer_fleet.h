#pragma once

#include "membership/membership.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace samphireway::testing {

/** One node of a `peer_fleet`: its tracker and what signs and verifies its messages. */
struct fleet_node {
    fleet_node(const membership::tracker_options& options, const core::clock& time)
        : tracker(options), identity(options.self.endpoint.identity),
          writer(identity, {"key-of-the-fleet"}, time), reader(identity, {"key-of-the-fleet"}, time)
    {
    }

    membership::membership_tracker tracker;
    membership::peer_identity identity;
    membership::envelope_writer writer;
    membership::envelope_reader reader;
    bool is_running = true;
    std::uint64_t bytes = 0; ///< Bytes sent and received, including HTTP, TCP and IP headers.
};

/** Membership trackers that exchange signed and serialized heartbeats on an injected clock. */
class peer_fleet {
public:
    /** Adds a joining node, which learns its first peers from the node added before it. */
    fleet_node& add(const std::string& id, const std::string& zone, const std::string& suffix = "1")
    {
        membership::tracker_options options;
        options.self = {.endpoint = {.identity = {.id = id, .incarnation = id + "." + suffix},
                                     .address = "10.0.0." + id,
                                     .port = 8082},
                        .availability_zone = zone,
                        .started_ms = core::to_unix_ms(this->now())};
        options.random_seed = core::hash64(id + suffix);
        options.configuration_digest = [] {
            return std::string(16, 'd');
        };
        const core::clock time{.now = [this] { return this->now(); },
                               .steady =
                                   [this] {
                                       return this->steady;
                                   }};
        auto node = std::make_unique<fleet_node>(options, time);
        const auto seed = this->nodes.find(this->last_added);
        if (seed != this->nodes.end()) {
            node->tracker.learn_peers(seed->second->tracker.known_peers(this->steady), this->steady);
        }
        this->last_added = id;
        this->nodes[id] = std::move(node);
        return *this->nodes[id];
    }

    /** Makes all nodes know each other, as in a fleet that has been running for a long time. */
    void introduce_all()
    {
        const std::vector<membership::rumour> known =
            this->at(this->last_added).tracker.known_peers(this->steady);
        for (auto& [id, node] : this->nodes) {
            node->tracker.learn_peers(known, this->steady);
        }
    }

    fleet_node& at(const std::string& id)
    {
        return *this->nodes.at(id);
    }

    /** Runs heartbeat intervals of one second each. */
    void run(int intervals)
    {
        for (int interval = 0; interval < intervals; ++interval) {
            this->steady += std::chrono::seconds(1);
            for (auto& [id, node] : this->nodes) {
                if (node->is_running) {
                    this->send_heartbeats(*node);
                }
            }
        }
    }

    membership::peer_state state(const std::string& observer, const std::string& peer)
    {
        const membership::peer_view view = this->at(observer).tracker.view(this->steady);
        const auto found = view.find(peer);
        return found == view.end() ? membership::peer_state::joining : found->second.state;
    }

    /** Returns whether every other running node sees the peer in the expected state. */
    bool all_see(const std::string& peer, membership::peer_state expected)
    {
        for (const auto& [id, node] : this->nodes) {
            if (node->is_running && id != peer && this->state(id, peer) != expected) {
                return false;
            }
        }
        return true;
    }

    core::wall_time now() const
    {
        return core::from_unix_ms(1000000000) +
               std::chrono::duration_cast<std::chrono::milliseconds>(this->steady.time_since_epoch());
    }

    core::steady_time steady{std::chrono::hours(1)};
    std::function<bool(const std::string& from, const std::string& to)> is_connected = [](const auto&,
                                                                                          const auto&) {
        return true;
    };
    std::map<std::string, std::unique_ptr<fleet_node>> nodes;

private:
    std::string last_added;

    // Bytes of one exchange besides the JSON bodies: 251 bytes of HTTP headers of the request and its answer,
    // as the real client and server send them with the longest address, and four packets with 52 bytes of TCP
    // and IP headers each. A randomly chosen peer needs a new connection, which costs seven more packets.
    static constexpr std::uint64_t exchange_overhead = 459;
    static constexpr std::uint64_t connection_overhead = 364;
    static constexpr std::uint64_t json_rpc_overhead = 94;

    void send_heartbeats(fleet_node& node)
    {
        std::size_t index = 0;
        for (const membership::peer_endpoint& target : node.tracker.targets(this->steady)) {
            const bool is_new_connection = index >= 2;
            ++index;
            const bool has_answered = this->exchange(node, target, is_new_connection);
            node.tracker.observe_call(target.identity.id, has_answered, this->steady);
        }
    }

    bool exchange(fleet_node& node, const membership::peer_endpoint& target, bool is_new_connection)
    {
        const Json::Value request = node.writer.write(
            target.identity, {{.method = membership::heartbeat_method,
                               .parameters = membership::to_json(node.tracker.next_heartbeat())}});
        const auto found = this->nodes.find(target.identity.id);
        if (found == this->nodes.end() || !found->second->is_running ||
            !this->is_connected(node.identity.id, target.identity.id)) {
            return false;
        }
        fleet_node& peer = *found->second;
        const core::result<membership::envelope> accepted = peer.reader.read(request);
        if (!accepted) {
            return false;
        }
        peer.tracker.observe_heartbeat(accepted->sender,
                                       *membership::heartbeat_from_json(accepted->calls.at(0).parameters),
                                       this->steady);
        const Json::Value answer =
            peer.writer.write_answer(*accepted, {membership::to_json(peer.tracker.next_heartbeat())});
        membership::peer_identity responder;
        const auto results = node.reader.read_answer(answer, request, responder);
        if (!results) {
            return false;
        }
        node.tracker.observe_heartbeat(responder, *membership::heartbeat_from_json(results->at(0)),
                                       this->steady);
        const std::uint64_t bytes = core::write_json(request).size() + core::write_json(answer).size() +
                                    json_rpc_overhead + exchange_overhead +
                                    (is_new_connection ? connection_overhead : 0);
        node.bytes += bytes;
        peer.bytes += bytes;
        return true;
    }
};

} // namespace samphireway::testing
