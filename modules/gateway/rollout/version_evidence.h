#pragma once

#include "core/core.h"
#include "moves/evidence/summary.h"

#include <cstddef>
#include <map>
#include <string>

namespace samphireway::gateway {

/** Outcomes on one route. @see version_evidence */
struct route_evidence {
    moves::summary stable;                        ///< Outcomes of the versions other than the target.
    std::map<std::string, moves::summary> target; ///< Outcomes of the target version, by upstream id.

    /** Returns the outcomes of the target version over its upstreams, without those of one of them. */
    moves::summary target_without(const std::string& upstream) const;
};

/**
    Outcomes of both versions of a service during a roll-out, by route.

    Evidence of several nodes is merged by addition. Outcomes are kept by upstream, so that one faulty
   upstream is not taken for a fault of its version. Memory is bounded: outcomes on further routes than
    `maximum_routes` count only for all routes together.

    @see find_fault
*/
struct version_evidence {
    static constexpr std::size_t maximum_routes = 256;
    static constexpr const char* all_routes = "";

    std::map<std::string, route_evidence> routes;

    /** Counts one outcome. */
    void add(const std::string& route, const std::string& upstream, bool is_target,
             const moves::sample& observed);

    /** Adds another evidence's counts. */
    void merge(const version_evidence& other);

    /** Returns the counts that are not in `earlier`, an earlier state of this evidence. */
    version_evidence since(const version_evidence& earlier) const;
};

/** Returns the JSON form. */
Json::Value to_json(const version_evidence& value);

/** Reads evidence. Fails with `invalid_argument` if it is not an object of routes. */
core::result<version_evidence> version_evidence_from_json(const Json::Value& json);

} // namespace samphireway::gateway
