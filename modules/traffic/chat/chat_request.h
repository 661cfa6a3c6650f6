#pragma once

#include "core/core.h"

#include <json/json.h>
#include <string>

namespace samphireway::traffic {

/** A caller's chat completion request after validation. @see parse_chat_request */
struct chat_request {
    Json::Value body; ///< As sent by the caller, with `max_tokens` set.
    std::string model;
    bool is_streaming = false;
    std::int64_t prompt_bound = 0; ///< Upper bound of the prompt's tokens.
    std::int64_t output_bound = 0; ///< Upper bound of the output's tokens.
    std::uint64_t prefix_hash = 0; ///< Hash of the first bytes of the prompt.
};

/** Limits of a chat request. @see parse_chat_request */
struct chat_limits {
    std::int64_t default_output_tokens = 512;
    std::int64_t maximum_output_tokens = 32768;
};

/** Parses and validates a request body. Fails with `invalid_argument` and verdict `not_run`. */
core::result<chat_request> parse_chat_request(const std::string& body, const chat_limits& limits);

} // namespace samphireway::traffic
