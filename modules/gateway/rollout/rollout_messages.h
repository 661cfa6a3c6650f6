#pragma once

#include "gateway/rollout/rollout_order.h"
#include "gateway/rollout/version_evidence.h"

#include <chrono>
#include <string>

namespace samphireway::gateway {

/** Path of reports on the internal address. */
inline const std::string rollout_report_path = "/rollout-report";

/**
    What a node's process has seen of a roll-out since it began.

    Reports are cumulative: the latest one of a process replaces the earlier ones, so that lost and repeated
    reports do no harm.
*/
struct rollout_report {
    std::string process;
    std::string service;
    std::string target;
    std::chrono::milliseconds age{0};  ///< Time since the order; zero if the node only has an estimate.
    bool is_bad = false;               ///< Whether the node knows that the target version is bad.
    std::int64_t stable_in_flight = 0; ///< The node's requests that run at upstreams of other versions.
    version_evidence evidence;
};

/** The answer to a report. */
struct rollout_answer {
    std::chrono::milliseconds age{0}; ///< Time since the order; zero if the node only has an estimate.
    bool is_bad = false;              ///< Whether the target version was found bad.
};

/** Returns the body of a report. */
std::string make_rollout_report(const rollout_report& report);

/** Parses a report. Fails with `invalid_argument`. */
core::result<rollout_report> parse_rollout_report(const std::string& body);

/** Returns the body of an answer. */
std::string make_rollout_answer(const rollout_answer& answer);

/** Parses an answer. Fails with `invalid_argument`. */
core::result<rollout_answer> parse_rollout_answer(const std::string& body);

} // namespace samphireway::gateway
