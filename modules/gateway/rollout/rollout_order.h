#pragma once

#include "core/core.h"
#include "platform/objects/object_store.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace samphireway::gateway {

/** State of a roll-out, as stored for the operator. The last two are final. */
enum class rollout_state { pending, running, completed, rolled_back };

/** Returns the name of a state in logs and messages. */
std::string_view to_string(rollout_state state) noexcept;

/** Returns whether a state is final. */
bool is_final(rollout_state state) noexcept;

/** An operator's order to move a service's traffic to the upstreams of another version. */
struct rollout_order {
    std::string service;
    std::string target;                    ///< Version to which the traffic moves.
    std::chrono::milliseconds duration{0}; ///< Time from the order until the move must have ended.
    rollout_state state{};                 ///< Stored state; `pending` if none is stored for this target.
    platform::object_version revision = 0; ///< Expected by the next write of the state.

    bool operator==(const rollout_order&) const = default;
};

/** Decodes a stored order. Fails with `invalid_argument` if it is malformed. */
using rollout_reader = std::function<core::result<rollout_order>(const platform::object& entry)>;

/** Stores the state of an order if its revision has not changed. */
using rollout_writer =
    std::function<core::result<platform::put_outcome>(const rollout_order& order, rollout_state next)>;

/** An order that this node knows. @see rollout_table */
struct known_rollout {
    rollout_order order;
    core::steady_time first_seen;
    bool is_found_at_start = false; ///< Whether the order may be older than `first_seen`.
    /** Whether the object API has lost the final state of the order, so that it must be stored again. */
    bool has_lost_state = false;

    bool operator==(const known_rollout&) const = default;
};

/** The known orders by service. Immutable once published. */
using rollout_table = std::map<std::string, known_rollout>;

} // namespace samphireway::gateway
