#pragma once

#include "gateway/quarantine/crash_report.h"

#include <map>
#include <set>
#include <string>

namespace samphireway::gateway {

/** Parts of prompts that are refused, and parts that may have to be. Immutable once published. */
struct part_verdicts {
    std::map<std::string, int> quarantined; ///< Number of crashes of each part that is refused.
    /** By part, the crashes since it was last answered, if there are enough to look for answers. */
    std::map<std::string, std::set<std::string>> suspected;

    bool operator==(const part_verdicts&) const = default;
};

/**
    Finds the parts of prompts that crash upstreams.

    A crash accuses all parts of the prompts in flight at the upstream, among them sound ones, whenever in
    its answer the guilty request crashed it. What tells them apart is that a prompt with a guilty part is
   never answered completely. So a part is quarantined if several upstreams in a row crashed with it in flight
   and no node had an answer to it in between, although a node that sent it had answers to other prompts. A
   part that was answered before needs more crashes, since it may only have been near them, and so does any
   part while upstreams crash for many reasons. Crashes that a quarantined part explains accuse no other part.
    An answer clears a part of the crashes before it and not of later ones, as upstreams change.

    @param reports the latest report of each node
*/
part_verdicts judge_parts(const std::map<std::string, crash_report>& reports);

} // namespace samphireway::gateway
