#pragma once

#include "core/core.h"

#include <functional>
#include <string>
#include <vector>

namespace samphireway::platform {

/** State of a VM in the platform's VM list, which may be out of date. @see vm_list */
enum class vm_state { live, leaving };

/** One entry of the platform's VM list. @see vm_list */
struct vm {
    std::string id;
    std::string role; ///< `router` for VMs that run this program, `upstream` for VMs of upstream owners.
    std::string address;
    std::string availability_zone;
    vm_state state = vm_state::live;
};

/** Snapshot of the VM list. A higher revision is newer. @see vm_list */
struct vm_list_reading {
    std::uint64_t revision = 0;
    std::vector<vm> vms;
};

/** Reads the platform's list of live and leaving VMs. New and removed VMs appear in it with a delay. */
using vm_list = std::function<core::result<vm_list_reading>()>;

} // namespace samphireway::platform
