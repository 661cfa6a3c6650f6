#include "node/membership/leaving_upstreams.h"

#include <criterion/criterion.h>

namespace {

using namespace samphireway;
using namespace std::chrono_literals;

configuration::snapshot make_snapshot(bool is_leaving)
{
    auto list = std::make_shared<configuration::upstream_list>();
    list->upstreams["a"] = {.id = "a", .address = "10.0.0.1", .port = 80, .is_leaving = is_leaving};
    list->upstreams["b"] = {.id = "b", .address = "10.0.0.2", .port = 80};
    configuration::snapshot in_force;
    in_force.upstreams = list;
    return in_force;
}

platform::vm upstream_vm(const std::string& address, platform::vm_state state)
{
    return {.id = "vm-" + address,
            .role = "upstream",
            .address = address,
            .availability_zone = "z",
            .state = state};
}

} // namespace

// Guards against sending new requests to an upstream that any source reports as leaving, and against
// treating an upstream as gone because it was never in the VM list.
Test(leaving_upstreams, each_source_marks_an_upstream_as_leaving)
{
    const core::steady_time now{1h};
    node::leaving_upstreams leaving;
    leaving.observe_configuration(make_snapshot(false), now);
    leaving.observe_vms({.revision = 1, .vms = {}}, now);
    cr_assert(leaving.upstreams()->empty(), "an address that was never in the VM list is not leaving");
    leaving.observe_configuration(make_snapshot(true), now);
    cr_assert(leaving.upstreams()->contains("a"), "marked as leaving in the configuration");
    leaving.observe_configuration(make_snapshot(false), now);
    cr_assert(leaving.upstreams()->empty());
    leaving.observe_vms({.revision = 2, .vms = {upstream_vm("10.0.0.1", platform::vm_state::live)}}, now);
    cr_assert(leaving.upstreams()->empty());
    leaving.observe_vms({.revision = 3, .vms = {upstream_vm("10.0.0.1", platform::vm_state::leaving)}}, now);
    cr_assert(leaving.upstreams()->contains("a"), "its VM is leaving");
    leaving.observe_vms({.revision = 4, .vms = {}}, now);
    cr_assert(leaving.upstreams()->contains("a"), "its VM is no longer listed");
    leaving.observe_upstream("b", true, now);
    cr_assert(leaving.upstreams()->contains("b"), "reported by the upstream itself");
    cr_assert_eq(leaving.recently_leaving(now).size(), 2);
    cr_assert(leaving.recently_leaving(now + 10s).empty());
    leaving.observe_upstream("b", false, now);
    leaving.observe_peer({"b"}, now);
    cr_assert(leaving.upstreams()->contains("b"), "reported by a peer");
    leaving.observe_configuration(make_snapshot(false), now + 2min);
    cr_assert(!leaving.upstreams()->contains("b"), "a peer's report expires");
}
