#pragma once

#include "core/core.h"
#include "membership/rpc/peer_client.h"
#include "platform/vms/vm_list.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace samphireway::membership {

/**
    State of a peer as one node sees it.

    `joining`: in the VM list, but not heard of yet. `live`: no evidence against it. `suspect`: did not
    answer calls, is so reported by a rumour, or has not joined within `join_timeout`. `gone`: suspect
    for `gone_after`, suspect and missing from the VM list, missing from it and not heard for
    `gone_after`, or replaced by a later incarnation. `leaving`: announced a planned stop, or the VM
    list says so.

    @see build_view
*/
enum class peer_state { joining, live, suspect, gone, leaving };

/** Returns the name of a state. */
std::string_view to_string(peer_state state) noexcept;

/** Identity, location and start time of one incarnation of a node. */
struct peer_facts {
    peer_endpoint endpoint;
    std::string availability_zone;
    std::int64_t started_ms = 0; ///< Unix time of its start by its own clock; orders incarnations.
};

/** State of a node that another node reports. A higher revision of the same incarnation is newer. */
struct rumour {
    peer_facts subject;
    peer_state state = peer_state::live;
    std::uint64_t revision = 0;
};

/** Evidence about one incarnation of a peer. @see build_view */
struct peer_evidence {
    peer_facts facts;
    core::steady_time first_known;                  ///< Time of the first heartbeat or rumour about it.
    std::optional<core::steady_time> last_heard;    ///< Time of the last heartbeat of the peer itself.
    std::optional<core::steady_time> failing_since; ///< Time of the first of the consecutive failed calls.
    std::optional<core::steady_time> suspected_since;
    std::uint64_t revision = 0;
    bool announces_leaving = false;
};

/** The latest reading of the platform's VM list, with its time and that of each VM's first listing. */
struct vm_evidence {
    platform::vm_list_reading reading;
    core::steady_time read_at;
    std::map<std::string, core::steady_time> first_listed; ///< Time of the first reading with a VM, by VM id.
};

/** Inputs of a view. The id of a VM is also the id of the node on it. @see build_view */
struct view_inputs {
    peer_identity self;
    int peer_port = 0; ///< Port assumed for nodes that were not heard of yet.
    std::vector<peer_evidence> evidence;
    std::optional<vm_evidence> vms;
};

/** Record of one peer in a view. */
struct peer_record {
    peer_facts facts;
    peer_state state = peer_state::joining;
    bool is_reachable = true; ///< Whether this node's own calls to the peer succeed.
    std::uint64_t revision = 0;
};

/** Peers by node id, without this node. It may be wrong or late, so no invariant may depend on it. */
using peer_view = std::map<std::string, peer_record>;

/** A peer that stays suspect for this time is gone. It exceeds the common pauses of VMs. */
inline constexpr std::chrono::seconds gone_after{30};

/** A listed VM that is not heard of within this time is suspect, as VMs start within a minute. */
inline constexpr std::chrono::seconds join_timeout{60};

/** Returns the view of peers. A pure function of the inputs and the time. */
peer_view build_view(const view_inputs& inputs, core::steady_time now);

} // namespace samphireway::membership
