#pragma once

#include "core/core.h"

#include <cstdint>
#include <json/json.h>
#include <string>

namespace samphireway::bench {

/** Returns the text of one output token. It depends only on the prompt and the position, so that a client can
    check a whole answer. */
inline std::string token_text(std::uint64_t prompt_hash, std::int64_t position)
{
    constexpr std::size_t digits = 4;
    const std::string seed = core::to_hex(prompt_hash) + ":" + std::to_string(position);
    return " " + core::to_hex(core::hash64(seed)).substr(0, digits);
}

/** Returns the hash of all messages of a request; the engine stand-in derives its answer from it. */
inline std::uint64_t prompt_hash(const Json::Value& messages)
{
    std::string all;
    for (const Json::Value& message : messages) {
        all += core::string_member(message, "content") + "\n";
    }
    return core::hash64(all);
}

/** Returns the number of prompt tokens as the engine stand-in counts them: for each message, one token per
    four bytes, rounded up, and four more. */
inline std::int64_t prompt_tokens(const Json::Value& messages)
{
    constexpr std::int64_t bytes_per_token = 4;
    constexpr std::int64_t tokens_per_message = 4;
    std::int64_t count = 0;
    for (const Json::Value& message : messages) {
        const auto bytes = static_cast<std::int64_t>(core::string_member(message, "content").size());
        count += (bytes + bytes_per_token - 1) / bytes_per_token + tokens_per_message;
    }
    return count;
}

} // namespace samphireway::bench
