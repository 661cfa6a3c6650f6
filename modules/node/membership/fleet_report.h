#pragma once

#include "membership/membership.h"

#include <json/json.h>
#include <map>
#include <string>

namespace samphireway::node {

/**
    Combines the configuration reports of nodes into the output of `samphireway status --fleet`: which
    nodes lag behind the newest generation that any node has in force, for which configuration objects,
    and why.

    @see peer_service::fleet_status
*/
class fleet_report {
public:
    /** `self_to_use` is the id of this node. */
    fleet_report(std::string self_to_use, const Json::Value& own_report);

    /** Adds a known peer. It is listed as unanswered until `add_report` gets its report. */
    void add_peer(const membership::peer_record& record);

    /** Adds a peer's report; a null report means that the peer did not answer. */
    void add_report(const std::string& id, const Json::Value& report);

    /** Returns the combined report. */
    Json::Value combined_report() const;

private:
    const std::string self;
    std::map<std::string, Json::Value> reports;
    std::map<std::string, membership::peer_record> peers;
};

} // namespace samphireway::node
