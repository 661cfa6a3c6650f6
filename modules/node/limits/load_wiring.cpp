#include "node/limits/load_wiring.h"

#include <thread>

namespace samphireway::node {

namespace {

constexpr std::chrono::milliseconds drain_poll_interval{20};

std::vector<limits::agreed_load> agreed_loads(const configuration::snapshot& snapshot)
{
    std::vector<limits::agreed_load> loads;
    for (const auto& [id, upstream] : snapshot.upstreams->upstreams) {
        loads.push_back(limits::agreed_load{
            .upstream = id, .requests = upstream.agreed_requests, .tokens = upstream.agreed_tokens});
    }
    return loads;
}

} // namespace

load_wiring::load_wiring(load_wiring_options options)
    : configuration(std::move(options.configuration)), admission_gate(std::move(options.gate)),
      controller(this->admission_gate, std::move(options.controller))
{
}

void load_wiring::tick()
{
    const std::shared_ptr<const configuration::snapshot> current = this->configuration();
    const auto found = current->generations.find(configuration::upstreams_key);
    const std::uint64_t accepted = found == current->generations.end() ? 0 : found->second;
    if (accepted > this->generation) {
        this->generation = accepted;
        this->admission_gate.configure(agreed_loads(*current), accepted);
    }
    this->controller.tick();
}

void load_wiring::request_tick()
{
    this->controller.request_tick();
}

bool load_wiring::drain(core::steady_time deadline)
{
    this->admission_gate.start_drain();
    while (!this->admission_gate.is_drained() && std::chrono::steady_clock::now() < deadline) {
        this->controller.request_tick();
        std::this_thread::sleep_for(drain_poll_interval);
    }
    return this->admission_gate.is_drained();
}

limits::load_gate& load_wiring::gate()
{
    return this->admission_gate;
}

} // namespace samphireway::node
