#pragma once

#include "core/core.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace samphireway::gateway {

/** Ids of the parts of a prompt, in their order. */
using prompt_parts = std::vector<std::string>;

/** The end of an upstream while it ran requests. */
struct upstream_crash {
    std::string id; ///< Id of the upstream and its start; equal at all nodes that saw the crash.
    core::wall_time seen_at;
    std::set<std::string> parts; ///< Of the prompts of the node's requests that were in flight there.
};

/** What a node has seen of crashes, stored for the other nodes. @see judge_parts */
struct crash_report {
    std::vector<upstream_crash> crashes; ///< The latest, oldest first.
    std::set<std::string> answered;      ///< Accused parts that upstreams have ever answered here.
    /** By part, the crashes that the node knew of when an upstream answered the part here. */
    std::map<std::string, std::set<std::string>> acquitted;
    /** Parts accused by this node that were in none of its last answers. */
    std::set<std::string> unanswered;

    /** Adds a prompt to the report of a crash; a new crash displaces the oldest one if there are too many. */
    void add(const std::string& crash_id, const prompt_parts& prompt, core::wall_time now);

    /** Returns whether a crash of this report accuses a part. */
    bool accuses(const std::string& part) const;

    /** Removes crashes seen before a time. Returns whether there were any. */
    bool expire(core::wall_time before);
};

/** Returns the stored form of a report. */
Json::Value to_json(const crash_report& value);

/** Reads a report; ignores malformed and surplus entries. Fails with `invalid_argument` if it is no object.
 */
core::result<crash_report> crash_report_from_json(const Json::Value& json);

/** Key prefix of the reports in the object API. */
inline const std::string crashes_prefix = "crashes/";

} // namespace samphireway::gateway
