#pragma once

#include "limits/limits.h"
#include "support/fake_object_store.h"

#include <memory>
#include <string>
#include <vector>

namespace samphireway::testing {

/** A load gate with its controller, ticked by the test, on a shared clock and object store. */
struct load_node {
    load_node(const std::string& name, const platform::object_store& store, const core::clock& clock)
        : gate({.holder = name,
                .time = clock,
                .lease = std::chrono::seconds(60),
                .renew_after = std::chrono::seconds(10),
                .request_timeout = std::chrono::seconds(30),
                .clock_margin = std::chrono::seconds(5)}),
          controller(gate, {.store = store,
                            .time = clock,
                            .run_blocking = [](const std::function<void()>& work) { work(); },
                            .run_control =
                                [](const std::function<void()>& work) {
                                    work();
                                }})
    {
    }

    limits::load_gate gate;
    limits::load_controller controller;
    std::vector<limits::slot> slots;
};

/** Several nodes with one upstream, one object store and one clock that only the test advances. */
struct load_cluster {
    explicit load_cluster(int count, limits::amount requests = 10, limits::amount tokens = 1000)
    {
        core::initialize_log(core::log_level::error);
        for (int index = 0; index < count; ++index) {
            this->add_node();
        }
        this->set_agreed_load(requests, tokens, 1);
    }

    void add_node()
    {
        const std::string name = "node-" + std::to_string(this->nodes.size());
        this->nodes.push_back(std::make_unique<load_node>(name, this->store.hooks(), this->clock));
    }

    void set_agreed_load(limits::amount requests, limits::amount tokens, std::uint64_t generation)
    {
        for (const std::unique_ptr<load_node>& node : this->nodes) {
            this->set_agreed_load_at(*node, requests, tokens, generation);
        }
    }

    static void set_agreed_load_at(load_node& node, limits::amount requests, limits::amount tokens,
                                   std::uint64_t generation)
    {
        node.gate.configure({{.upstream = "engine", .requests = requests, .tokens = tokens}}, generation);
    }

    void advance(std::chrono::milliseconds step)
    {
        this->elapsed += step;
    }

    /** Advances the clock in steps of 250 ms and ticks the controllers of some nodes after each step. */
    void run(std::chrono::milliseconds duration, const std::vector<std::size_t>& ticking)
    {
        for (std::chrono::milliseconds passed{0}; passed < duration;
             passed += std::chrono::milliseconds(250)) {
            this->advance(std::chrono::milliseconds(250));
            for (const std::size_t index : ticking) {
                this->nodes[index]->controller.tick();
            }
        }
    }

    /**
        Tries to admit `count` requests at a node without waiting. Returns how many were admitted;
        refused ones count as demand.
    */
    int admit_requests(std::size_t index, int count, limits::amount estimate)
    {
        load_node& node = *this->nodes[index];
        int admitted = 0;
        for (int request = 0; request < count; ++request) {
            core::result<limits::slot> slot = node.gate.admit("engine", estimate);
            if (slot) {
                node.slots.push_back(std::move(*slot));
                ++admitted;
            }
        }
        return admitted;
    }

    limits::amount in_flight() const
    {
        limits::amount sum = 0;
        for (const std::unique_ptr<load_node>& node : this->nodes) {
            sum += static_cast<limits::amount>(node->slots.size());
        }
        return sum;
    }

    std::chrono::milliseconds elapsed{0};
    core::clock clock{.now = [this] { return core::wall_time(std::chrono::hours(1) + this->elapsed); },
                      .steady =
                          [this] {
                              return core::steady_time(std::chrono::hours(1) + this->elapsed);
                          }};
    fake_object_store store;
    std::vector<std::unique_ptr<load_node>> nodes;
};

} // namespace samphireway::testing
