#pragma once

#include "core/core.h"
#include "gateway/model/member.h"
#include "gateway/model/upstream.h"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace samphireway::gateway {

/** Options of the limits that upstreams name. @see upstream_limits */
struct upstream_limit_options {
    std::string node; ///< Id of this node.
    /** Returns the nodes that divide a limit, or null while they are unknown. */
    std::function<std::shared_ptr<const member_list>()> members;
    /** Part of a limit that the nodes use together. */
    double utilization = 1;
    core::clock time = {};
};

/**
    Rates of requests that upstreams accept from all nodes together, and this node's part of them. Traffic
    thread only.

    The nodes divide a limit without messages: each of N nodes may send one request in each of its slots,
    which are N / limit long; short slots are joined. The nodes' slots begin one after the other, by their
    order and the time of day, so that the requests of large fleets come evenly. Clocks that differ make them
    less even, but not more. A slot that is not used soon after it begins is lost, so that nodes that were
   idle cannot send many requests at once. Every node has a slot now and then, and so learns when a limit
   changes or ends.

    A limit concerns one incarnation of an upstream, and holds until a response does not name it.

    @see find_upstream
*/
class upstream_limits {
public:
    explicit upstream_limits(upstream_limit_options options_to_use);

    /** Takes over the rate in requests per second that an upstream's response named. Negative and infinite
     * rates are ignored; a rate of zero is taken for a very low one. */
    void record(const upstream& target, double rate);

    /** Ends an upstream's limit, since a response did not name it. */
    void record_none(const upstream& target);

    /** Returns whether an upstream names a limit. */
    bool has_limit(const upstream& target) const;

    /** Returns whether this node may send a request to an upstream now. */
    bool allows(const upstream& target) const;

    /** Counts a request to an upstream. */
    void count(const upstream& target);

    /** Returns when this node may next send a request to an upstream; the present time if it may at once. */
    core::steady_time next_slot(const upstream& target) const;

    /** Removes the limits of upstreams that are not in `listed`. Call this periodically. */
    void sweep(const upstream_table& listed);

    /** Number of upstreams with a limit. */
    std::size_t size() const noexcept;

private:
    struct known_limit {
        double rate = 0;
        core::wall_time slot_end; ///< End of the slot to which `used` belongs.
        int used = 0;             ///< Requests sent in that slot.
    };
    /** A slot of this node. */
    struct slot {
        core::wall_time usable_until;
        core::wall_time end;
        int requests = 1; ///< Requests that may be sent in it.
    };
    /** This node's place among the nodes. */
    struct place {
        std::size_t rank = 0;
        std::size_t nodes = 1;
    };

    slot slot_at(const upstream& target, const known_limit& limit, core::wall_time now) const;
    place find_place() const;
    core::wall_time next_slot(const upstream& target, const known_limit& limit, core::wall_time now) const;

    const upstream_limit_options options;
    std::map<upstream_incarnation, known_limit> limits;
};

} // namespace samphireway::gateway
