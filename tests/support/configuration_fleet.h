#pragma once

#include "configuration/configuration.h"
#include "support/fake_object_store.h"

#include <deque>
#include <memory>
#include <random>

namespace samphireway::testing {

/** One node of a `configuration_fleet` and the faults that affect it. */
struct configuration_node {
    std::string id;
    std::unique_ptr<configuration::repository> repository;
    std::unique_ptr<configuration::distributor> distributor;
    bool is_running = true;
    bool is_platform_cut = false;
    bool is_watch_silent = false;
    std::chrono::milliseconds maximum_watch_delay{0}; ///< Watch answers are late by up to this, in any order.
    int partition = 0; ///< Number of the network partition that the node is in.
    bool is_listing = false;
    std::vector<std::pair<core::steady_time, platform::watch_batch>> answers;
};

/** Nodes with repositories and distributors, one fake platform, an injected clock and a recorded history. */
class configuration_fleet {
public:
    configuration_fleet(int count, std::uint64_t seed) : random(seed)
    {
        for (int index = 0; index < count; ++index) {
            this->nodes.push_back({.id = "node-" + std::to_string(index)});
            this->start(this->nodes.back());
        }
    }

    /** Starts a node with an empty repository, as after a restart. */
    void start(configuration_node& node)
    {
        node.repository = std::make_unique<configuration::repository>(shards);
        configuration::distributor_options options;
        options.catch_up_peers = this->nodes.size() / 2;
        options.self = node.id;
        node.distributor = std::make_unique<configuration::distributor>(*node.repository, options);
        node.is_running = true;
        node.is_listing = false;
        node.answers.clear();
    }

    /** Writes a plan as an operator. Records the edit if it is accepted, and returns whether it is. */
    bool edit(const std::string& plan, const std::string& workspace,
              std::optional<configuration::generation> expected)
    {
        const configuration::editor editor(this->store.hooks(), shards);
        Json::Value value(Json::objectValue);
        value["workspace"] = workspace;
        const auto where = editor.plan_location(plan);
        const core::result<configuration::list_entry> written = editor.write(where, value, expected);
        if (written) {
            this->history.edits.push_back({.key = where.key,
                                           .written_generation = written->in_force,
                                           .expected = expected,
                                           .at = this->now});
        }
        return written.has_value();
    }

    /** Runs steps of 100 ms. `is_reachable` records that all running nodes were reachable meanwhile. */
    void run(std::chrono::milliseconds duration, bool is_reachable = true)
    {
        const core::steady_time from = this->now;
        for (const core::steady_time until = this->now + duration; this->now < until;) {
            this->now += step;
            ++this->steps;
            for (configuration_node& node : this->nodes) {
                if (node.is_running) {
                    this->run_node(node);
                }
            }
        }
        for (const configuration_node& node : this->nodes) {
            if (is_reachable && node.is_running) {
                this->history.reachable.push_back({.node = node.id, .from = from, .until = this->now});
            }
        }
    }

    static constexpr std::size_t shards = 4;
    fake_object_store store;
    std::vector<configuration_node> nodes;
    configuration::configuration_history history;
    core::steady_time now{std::chrono::hours(1)};
    std::mt19937_64 random;

private:
    static constexpr std::chrono::milliseconds step{100};
    static constexpr std::uint64_t heartbeat_steps = 10;

    bool is_platform_up(const configuration_node& node) const
    {
        return !node.is_platform_cut && !this->store.is_down;
    }

    void run_node(configuration_node& node)
    {
        this->poll(node);
        for (const configuration::due_read& read : node.distributor->take_due_reads(this->now)) {
            this->perform(node, read);
        }
        const bool is_due = (this->steps + core::hash64(node.id)) % heartbeat_steps == 0;
        if (is_due || node.distributor->take_change_from_peer()) {
            for (int call = 0; call < 3; ++call) {
                this->exchange(node, this->nodes[this->random() % this->nodes.size()]);
            }
        }
        if (node.distributor->is_ready()) {
            for (const auto& [key, in_force] : node.repository->current()->generations) {
                this->history.served.push_back(
                    {.node = node.id, .key = key, .in_force = in_force, .at = this->now});
            }
        }
    }

    void poll(configuration_node& node)
    {
        if (!this->is_platform_up(node)) {
            node.distributor->observe_platform(false, this->now);
            return;
        }
        if (!node.is_watch_silent) {
            const auto batch = this->store.hooks().watch("config/", node.distributor->revision(), this->now);
            const auto spread = static_cast<std::uint64_t>(node.maximum_watch_delay.count()) + 1;
            node.answers.emplace_back(this->now + std::chrono::milliseconds(this->random() % spread), *batch);
        }
        for (auto answer = node.answers.begin(); answer != node.answers.end();) {
            if (answer->first > this->now) {
                ++answer;
                continue;
            }
            node.distributor->observe_batch(answer->second, this->now);
            node.distributor->mark_listing_complete();
            answer = node.answers.erase(answer);
        }
    }

    void perform(configuration_node& node, const configuration::due_read& read)
    {
        if (read.peer.empty()) {
            if (!this->is_platform_up(node)) {
                return;
            }
            const auto reading = this->store.hooks().get(read.key);
            if (reading && reading->found) {
                node.distributor->receive(read.key, reading->found->value, "", this->now);
            }
            return;
        }
        for (const configuration_node& peer : this->nodes) {
            if (peer.id == read.peer && peer.is_running && peer.partition == node.partition) {
                node.distributor->receive(read.key, peer.repository->stored(read.key), peer.id, this->now);
            }
        }
    }

    void exchange(configuration_node& node, configuration_node& peer)
    {
        if (!peer.is_running || peer.partition != node.partition || &peer == &node) {
            return;
        }
        send_notice(node, peer, this->now);
        send_notice(peer, node, this->now);
        compare_digests(node, peer, this->now);
        compare_digests(peer, node, this->now);
    }

    static void send_notice(configuration_node& from, configuration_node& to, core::steady_time now)
    {
        to.distributor->observe_recent_changes(from.id, from.distributor->describe_recent_changes(now), now);
    }

    static void compare_digests(configuration_node& node, configuration_node& peer, core::steady_time now)
    {
        if (!node.distributor->observe_digest(peer.id, peer.repository->current()->digest, now)) {
            return;
        }
        const Json::Value parts = node.distributor->find_different_parts(peer.distributor->describe_parts());
        node.distributor->observe_generations(peer.id, peer.distributor->describe_generations(parts), now);
    }

    std::uint64_t steps = 0;
};

} // namespace samphireway::testing
