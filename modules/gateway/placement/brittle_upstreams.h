#pragma once

#include "core/core.h"
#include "gateway/model/member.h"
#include "gateway/model/upstream.h"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace samphireway::gateway {

/** Options of the care for brittle upstreams. @see brittle_upstreams */
struct brittle_upstream_options {
    std::string node; ///< Id of this node.
    /** Returns the nodes that share an upstream, or null while they are unknown. */
    std::function<std::shared_ptr<const member_list>()> members;
    /** Returns the registered upstreams, or null while they are unknown. */
    std::function<std::shared_ptr<const upstream_table>()> upstreams;
    core::clock time = {};
};

/**
    Upstreams that fall over when they have to refuse too many requests in a second, and this node's seats at
    them. Traffic thread only.

    The nodes divide an upstream's seats without messages: as many as it runs requests at the same time, and
    two thirds as many more as it may refuse in a second. A request that is refused keeps its seat for longer
   than a second. So however little room there is for waiting, the nodes cause at most those two thirds in any
   second.

    This holds once the requests from before the notice have left the queue. Until a request that was sent
    later is accepted and answered, and again after each refusal, a node sends only in its turns. The turns of
    the nodes follow each other by the time of day, so that their refusals make up the last third.

    What one upstream of a service says holds for those of the service that this node has not heard since.

    @see find_upstream
*/
class brittle_upstreams {
public:
    explicit brittle_upstreams(brittle_upstream_options options_to_use);

    /** Takes over how many refusals in a second an upstream stands. Values that are not positive and finite
     * are ignored. */
    void record(const upstream& target, double refusals_per_second);

    /** Ends an upstream's state, since a response did not say that it is brittle. */
    void record_none(const upstream& target);

    /** Counts a request that is sent to an upstream. */
    void count(const upstream& target);

    /** Records that an upstream has answered a request that was sent at `sent`, and not refused it. */
    void record_accepted(const upstream& target, core::steady_time sent);

    /** Records that an upstream refused a request for want of room. */
    void record_refused(const upstream& target);

    /** Records that a request was given up that an upstream may still be serving. */
    void record_abandoned(const upstream& target);

    /** Returns whether this node, with its requests in flight there, may send a request to an upstream now.
     */
    bool allows(const upstream& target, int in_flight) const;

    /** Returns when this node may next send a request to an upstream; the present time if it may at once. */
    core::steady_time next_seat(const upstream& target, int in_flight) const;

    /** Removes the state of upstreams that are not in `listed`. Call this periodically. */
    void sweep(const upstream_table& listed);

    /** Number of upstreams that said that they are brittle. */
    std::size_t size() const noexcept;

private:
    /** What the upstreams of a service have said. */
    struct service_notice {
        double refusals = 0;
        core::steady_time since;
        core::steady_time contact_until; ///< Until then the upstreams keep their room.
        core::steady_time fresh_until;   ///< Later a response that does not name it ends the notice.
    };
    struct known_upstream {
        double refusals = 0;    ///< As it said itself; zero if it has not.
        bool is_sound = false;  ///< Whether its last response did not say that it is brittle.
        bool is_proven = false; ///< Whether it accepted a request that was sent after `unproven_since`.
        core::steady_time unproven_since;
        core::steady_time last_sent;               ///< Time of the last request sent while unproven.
        core::steady_time heard;                   ///< Time of its last response.
        std::vector<core::steady_time> held_until; ///< Ends of the seats kept by ended requests.
    };
    /** This node's share of an upstream. */
    struct share {
        int seats = 0;
        core::steady_time turn;      ///< Begin of this node's present turn.
        core::steady_time next_turn; ///< Begin of the one after.
        core::steady_time turn_usable_until;
    };

    const service_notice* find_notice(const upstream& target) const;
    known_upstream state_of(const upstream& target, const service_notice& notice) const;
    known_upstream& update(const upstream& target, const service_notice& notice);
    known_upstream* find(const upstream& target);
    share find_share(const upstream& target, double refusals) const;
    core::steady_time next_seat(const upstream& target, int in_flight, core::steady_time now) const;
    void hold_seat(known_upstream& known) const;

    const brittle_upstream_options options;
    std::map<std::string, service_notice> services;
    std::map<std::string, core::steady_time> last_sound; ///< Last responses without a notice by service.
    std::map<upstream_incarnation, known_upstream> upstreams;
};

} // namespace samphireway::gateway
