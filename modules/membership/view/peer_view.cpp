#include "membership/view/peer_view.h"

#include <algorithm>

namespace samphireway::membership {

namespace {

const platform::vm* find_vm(const view_inputs& inputs, const std::string& id)
{
    if (!inputs.vms) {
        return nullptr;
    }
    const std::vector<platform::vm>& vms = inputs.vms->reading.vms;
    const auto found =
        std::find_if(vms.begin(), vms.end(), [&id](const platform::vm& vm) { return vm.id == id; });
    return found == vms.end() ? nullptr : &*found;
}

/**
    Returns whether a VM list read after the peer was last heard lacks its VM. The list lags, so an
    older reading is no evidence against the peer.
*/
bool is_missing_from_list(const view_inputs& inputs, const peer_evidence& evidence)
{
    if (!inputs.vms || find_vm(inputs, evidence.facts.endpoint.identity.id) != nullptr) {
        return false;
    }
    return inputs.vms->read_at > evidence.last_heard.value_or(evidence.first_known);
}

peer_state state_of(const view_inputs& inputs, const peer_evidence& evidence, core::steady_time now)
{
    const bool is_missing = is_missing_from_list(inputs, evidence);
    if (evidence.suspected_since) {
        const bool is_overdue = now - *evidence.suspected_since >= gone_after;
        if (is_overdue || is_missing) {
            return peer_state::gone;
        }
        return peer_state::suspect;
    }
    const core::steady_time last_contact = evidence.last_heard.value_or(evidence.first_known);
    if (is_missing && now - last_contact >= gone_after) {
        return peer_state::gone;
    }
    const platform::vm* vm = find_vm(inputs, evidence.facts.endpoint.identity.id);
    if (evidence.announces_leaving || (vm != nullptr && vm->state == platform::vm_state::leaving)) {
        return peer_state::leaving;
    }
    return peer_state::live;
}

/** Returns whether `candidate` is a later incarnation than `other` of the same node or address. */
bool is_later_incarnation(const peer_evidence& candidate, const peer_evidence& other)
{
    if (candidate.facts.started_ms != other.facts.started_ms) {
        return candidate.facts.started_ms > other.facts.started_ms;
    }
    return candidate.facts.endpoint.identity.incarnation > other.facts.endpoint.identity.incarnation;
}

std::string address_of(const peer_evidence& evidence)
{
    return evidence.facts.endpoint.address + ":" + std::to_string(evidence.facts.endpoint.port);
}

/**
    Returns the latest incarnation by node id and by `address:port`. The keys differ, as ids contain no
    colon.
*/
std::map<std::string, const peer_evidence*> find_latest(const view_inputs& inputs)
{
    std::map<std::string, const peer_evidence*> latest;
    const auto consider = [&latest](const std::string& key, const peer_evidence& evidence) {
        const peer_evidence*& current = latest[key];
        if (current == nullptr || is_later_incarnation(evidence, *current)) {
            current = &evidence;
        }
    };
    for (const peer_evidence& evidence : inputs.evidence) {
        consider(evidence.facts.endpoint.identity.id, evidence);
        consider(address_of(evidence), evidence);
    }
    return latest;
}

void add_vms_without_evidence(const view_inputs& inputs, core::steady_time now, peer_view& view)
{
    if (!inputs.vms) {
        return;
    }
    for (const platform::vm& vm : inputs.vms->reading.vms) {
        if (vm.role != "router" || vm.id == inputs.self.id || view.contains(vm.id)) {
            continue;
        }
        peer_record record;
        record.facts.endpoint = {
            .identity = {.id = vm.id, .incarnation = ""}, .address = vm.address, .port = inputs.peer_port};
        record.facts.availability_zone = vm.availability_zone;
        const auto listed = inputs.vms->first_listed.find(vm.id);
        const bool is_overdue =
            listed != inputs.vms->first_listed.end() && now - listed->second >= join_timeout;
        record.state = is_overdue ? peer_state::suspect : peer_state::joining;
        if (vm.state == platform::vm_state::leaving) {
            record.state = peer_state::leaving;
        }
        view.emplace(vm.id, std::move(record));
    }
}

} // namespace

std::string_view to_string(peer_state state) noexcept
{
    switch (state) {
    case peer_state::joining:
        return "joining";
    case peer_state::live:
        return "live";
    case peer_state::suspect:
        return "suspect";
    case peer_state::gone:
        return "gone";
    case peer_state::leaving:
        break;
    }
    return "leaving";
}

peer_view build_view(const view_inputs& inputs, core::steady_time now)
{
    peer_view view;
    const std::map<std::string, const peer_evidence*> latest = find_latest(inputs);
    for (const peer_evidence& evidence : inputs.evidence) {
        const std::string& id = evidence.facts.endpoint.identity.id;
        peer_record record{.facts = evidence.facts,
                           .state = state_of(inputs, evidence, now),
                           .is_reachable = !evidence.failing_since.has_value(),
                           .revision = evidence.revision};
        if (latest.at(id) != &evidence || latest.at(address_of(evidence)) != &evidence) {
            record.state = peer_state::gone;
            view.emplace(id, std::move(record));
            continue;
        }
        view.insert_or_assign(id, std::move(record));
    }
    add_vms_without_evidence(inputs, now, view);
    return view;
}

} // namespace samphireway::membership
