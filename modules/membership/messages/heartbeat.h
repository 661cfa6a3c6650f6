#pragma once

#include "core/core.h"
#include "membership/view/peer_view.h"

#include <json/json.h>
#include <string>
#include <vector>

namespace samphireway::membership {

/** A node's report of its own state, with rumours about other nodes. @see membership_tracker */
struct heartbeat {
    peer_facts self;
    std::uint64_t revision = 0; ///< Increases when the node refutes a rumour about itself or starts to leave.
    bool is_leaving = false;
    std::string configuration_digest;
    std::int64_t requests_in_flight = 0;
    std::vector<rumour> rumours;
};

/** Returns the compact JSON form of a heartbeat. */
Json::Value to_json(const heartbeat& value);

/** Reads a heartbeat. Fails with `invalid_argument` and the name of the field when one is invalid. */
core::result<heartbeat> heartbeat_from_json(const Json::Value& json);

/** Returns the JSON form of rumours, which is also that of the list of peers for a joining node. */
Json::Value to_json(const std::vector<rumour>& rumours);

/** Reads rumours. Ignores malformed ones. */
std::vector<rumour> rumours_from_json(const Json::Value& json);

} // namespace samphireway::membership
