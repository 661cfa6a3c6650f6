#include "traffic/chat/chat_request.h"

namespace samphireway::traffic {

namespace {

// Allowance for the tokens that engines add to each message.
constexpr std::int64_t tokens_per_message = 8;
constexpr std::size_t prefix_bytes = 512;

struct prompt_measure {
    std::int64_t bound = tokens_per_message;
    std::string prefix;
};

core::result<prompt_measure> measure_prompt(const Json::Value& messages)
{
    if (!messages.isArray() || messages.empty()) {
        return core::failure(core::error_code::invalid_argument, "messages: expected a non-empty array");
    }
    prompt_measure measure;
    for (const Json::Value& message : messages) {
        if (!message.isObject() || !message["role"].isString() || !message["content"].isString()) {
            return core::failure(core::error_code::invalid_argument,
                                 "messages: expected objects with the strings role and content");
        }
        const std::string content = message["content"].asString();
        // A token covers at least one byte, so the size in bytes is an upper bound of the tokens.
        measure.bound += static_cast<std::int64_t>(content.size()) + tokens_per_message;
        if (measure.prefix.size() < prefix_bytes) {
            measure.prefix += content.substr(0, prefix_bytes - measure.prefix.size());
        }
    }
    return measure;
}

} // namespace

core::result<chat_request> parse_chat_request(const std::string& body, const chat_limits& limits)
{
    core::result<Json::Value> json = core::parse_json(body);
    if (!json) {
        return tl::unexpected(json.error());
    }
    if (!json->isObject() || !(*json)["model"].isString()) {
        return core::failure(core::error_code::invalid_argument, "model: expected a string");
    }
    if (json->isMember("stream") && !(*json)["stream"].isBool()) {
        return core::failure(core::error_code::invalid_argument, "stream: expected true or false");
    }
    core::result<prompt_measure> measure = measure_prompt((*json)["messages"]);
    if (!measure) {
        return tl::unexpected(measure.error());
    }
    const std::int64_t output = core::integer_member(*json, "max_tokens", limits.default_output_tokens);
    if (json->isMember("max_tokens") && !(*json)["max_tokens"].isInt64()) {
        return core::failure(core::error_code::invalid_argument, "max_tokens: expected an integer");
    }
    if (output < 1 || output > limits.maximum_output_tokens) {
        return core::failure(core::error_code::invalid_argument,
                             "max_tokens: expected 1 to " + std::to_string(limits.maximum_output_tokens));
    }
    chat_request request;
    request.model = (*json)["model"].asString();
    request.is_streaming = core::boolean_member(*json, "stream");
    request.prompt_bound = measure->bound;
    request.output_bound = output;
    request.prefix_hash = core::hash64(measure->prefix);
    request.body = std::move(*json);
    request.body["max_tokens"] = static_cast<Json::Int64>(output);
    return request;
}

} // namespace samphireway::traffic
