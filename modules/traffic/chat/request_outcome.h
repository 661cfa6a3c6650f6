#pragma once

#include "core/core.h"

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace samphireway::traffic {

/** An attempt that failed and was followed by another. @see request_outcome */
struct failed_attempt {
    std::string upstream;
    std::string version;
    core::error failure;
};

/** Summary of a request after its end, for metrics, logs and the comparison of versions. */
struct request_outcome {
    std::string request_id;
    std::string workspace;
    std::string plan;
    std::string model;
    std::string upstream;
    std::string version;
    core::verdict run = core::verdict::not_run;
    std::optional<core::error> failure;
    /** Whether the stream was paused for a slow reader, which makes its times meaningless. */
    bool has_waited_for_reader = false;
    int attempts = 0;
    std::vector<failed_attempt> failed_attempts; ///< Failed attempts in order, without the last attempt.
    std::chrono::microseconds first_token{0};    ///< Time from arrival to the first text; zero without text.
    std::chrono::microseconds total{0};
    std::int64_t prompt_tokens = 0;
    std::int64_t output_tokens = 0;
    std::int64_t reserved_tokens = 0;
    std::int64_t billed_tokens = 0;
};

/** Receives every request's outcome, on a traffic thread. Must not block. */
using outcome_observer = std::function<void(const request_outcome&)>;

} // namespace samphireway::traffic
