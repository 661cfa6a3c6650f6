#include "node/membership/leaving_upstreams.h"

namespace samphireway::node {

namespace {

constexpr std::chrono::seconds peer_report_lifetime{60};
constexpr std::chrono::seconds recently_leaving_period{5};

} // namespace

std::shared_ptr<const leaving_upstreams::upstream_set> leaving_upstreams::upstreams() const
{
    return this->published.read();
}

void leaving_upstreams::observe_configuration(const configuration::snapshot& in_force, core::steady_time now)
{
    const std::lock_guard lock(this->mutex);
    this->upstream_list = in_force.upstreams;
    this->publish(now);
}

void leaving_upstreams::observe_vms(const platform::vm_list_reading& reading, core::steady_time now)
{
    const std::lock_guard lock(this->mutex);
    this->vms.clear();
    for (const platform::vm& vm : reading.vms) {
        this->ever_listed_addresses.insert(vm.address);
        // With several VMs at one address, the address is leaving only when all of them are.
        const auto [entry, is_new] = this->vms.try_emplace(vm.address, vm.state);
        if (!is_new && vm.state == platform::vm_state::live) {
            entry->second = platform::vm_state::live;
        }
    }
    this->publish(now);
}

void leaving_upstreams::observe_upstream(const std::string& id, bool is_leaving, core::steady_time now)
{
    const std::lock_guard lock(this->mutex);
    if (is_leaving) {
        this->self_reported.insert(id);
    }
    else {
        this->self_reported.erase(id);
    }
    this->publish(now);
}

void leaving_upstreams::observe_peer(const std::vector<std::string>& ids, core::steady_time now)
{
    if (ids.empty()) {
        return;
    }
    const std::lock_guard lock(this->mutex);
    for (const std::string& id : ids) {
        this->peer_reported.try_emplace(id, now);
    }
    this->publish(now);
}

bool leaving_upstreams::is_leaving_by_vm(const std::string& address) const
{
    const auto vm = this->vms.find(address);
    if (vm == this->vms.end()) {
        return this->ever_listed_addresses.contains(address);
    }
    return vm->second == platform::vm_state::leaving;
}

void leaving_upstreams::publish(core::steady_time now)
{
    std::erase_if(this->peer_reported,
                  [now](const auto& entry) { return now - entry.second >= peer_report_lifetime; });
    auto next = std::make_shared<upstream_set>();
    if (this->upstream_list) {
        for (const auto& [id, upstream] : this->upstream_list->upstreams) {
            if (upstream.is_leaving || this->is_leaving_by_vm(upstream.address) ||
                this->self_reported.contains(id)) {
                next->insert(id);
            }
        }
    }
    std::erase_if(this->leaving_since, [&next](const auto& entry) { return !next->contains(entry.first); });
    for (const std::string& id : *next) {
        this->leaving_since.try_emplace(id, now);
    }
    for (const auto& [id, since] : this->peer_reported) {
        next->insert(id);
    }
    this->published.publish(std::move(next));
}

std::vector<std::string> leaving_upstreams::recently_leaving(core::steady_time now) const
{
    const std::lock_guard lock(this->mutex);
    std::vector<std::string> ids;
    for (const auto& [id, since] : this->leaving_since) {
        if (now - since < recently_leaving_period) {
            ids.push_back(id);
        }
    }
    return ids;
}

} // namespace samphireway::node
