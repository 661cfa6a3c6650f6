#pragma once

#include "configuration/configuration.h"
#include "core/core.h"
#include "platform/vms/vm_list.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace samphireway::node {

/**
    Tracks the upstreams that are leaving and must get no new requests.

    An upstream is leaving when its configuration entry marks it so, when all VMs at its address are
    `leaving`, when its address has disappeared from the VM list, when the upstream reports it itself, or
    when a peer reported it within the last minute. All functions may be called from any thread.

    @see upstreams
*/
class leaving_upstreams {
public:
    using upstream_set = std::set<std::string>;

    /** Returns the ids of the leaving upstreams. Never null. */
    std::shared_ptr<const upstream_set> upstreams() const;

    /** Records the upstreams of the configuration in force. */
    void observe_configuration(const configuration::snapshot& in_force, core::steady_time now);

    /** Records a reading of the VM list. */
    void observe_vms(const platform::vm_list_reading& reading, core::steady_time now);

    /** Records whether an upstream reports itself as leaving. */
    void observe_upstream(const std::string& id, bool is_leaving, core::steady_time now);

    /**
        Records upstreams that a peer reported as leaving. A peer's report counts for a minute, in which
        this node's own readings confirm it.
    */
    void observe_peer(const std::vector<std::string>& ids, core::steady_time now);

    /** Returns the upstreams that this node itself found leaving in the last 5 s, to tell peers. */
    std::vector<std::string> recently_leaving(core::steady_time now) const;

private:
    void publish(core::steady_time now);
    bool is_leaving_by_vm(const std::string& address) const;

    mutable std::mutex mutex;
    core::published<upstream_set> published{std::make_shared<const upstream_set>()};
    std::shared_ptr<const configuration::upstream_list> upstream_list;
    std::set<std::string> ever_listed_addresses; ///< Addresses that were in any reading of the VM list.
    /// State of the VMs at each address in the last reading.
    std::map<std::string, platform::vm_state> vms;
    upstream_set self_reported;
    std::map<std::string, core::steady_time> peer_reported; ///< Time of a peer's report, by upstream id.
    /// Time since which this node has known an upstream as leaving, by its id.
    std::map<std::string, core::steady_time> leaving_since;
};

} // namespace samphireway::node
