#include "bench/load/arrival_process.h"

#include "bench/check/engine_text.h"

#include <cmath>
#include <random>

namespace samphireway::bench {

namespace {

constexpr std::uint64_t shared_prefixes = 16;

Json::Value message(const char* role, const std::string& content)
{
    Json::Value json(Json::objectValue);
    json["role"] = role;
    json["content"] = content;
    return json;
}

std::string pad_text(std::string text, std::size_t size)
{
    const std::string seed = text;
    std::uint64_t block = 0;
    while (text.size() < size) {
        text += " " + core::to_hex(core::hash64(seed + std::to_string(block)));
        ++block;
    }
    text.resize(size);
    return text;
}

} // namespace

std::vector<planned_request> plan_requests(const load_options& options)
{
    // The distributions of the standard library differ between implementations, so the generator's output is
    // transformed here.
    std::mt19937_64 generator(options.seed);
    const auto uniform = [&generator] {
        constexpr double scale = 0x1.0p-53;
        return static_cast<double>(generator() >> 11U) * scale;
    };
    std::uint64_t total_weight = 0;
    for (const std::uint32_t weight : options.mix.weights) {
        total_weight += weight;
    }
    std::vector<planned_request> planned;
    double seconds = 0;
    const double end = std::chrono::duration<double>(options.duration).count();
    while (static_cast<std::int64_t>(planned.size()) < options.maximum_requests) {
        seconds += -std::log1p(-uniform()) / options.requests_per_second;
        if (seconds >= end) {
            break;
        }
        std::uint64_t ticket = generator() % total_weight;
        std::size_t kind = 0;
        while (ticket >= options.mix.weights.at(kind)) {
            ticket -= options.mix.weights.at(kind);
            ++kind;
        }
        planned.push_back(
            planned_request{.offset = std::chrono::microseconds(static_cast<std::int64_t>(seconds * 1e6)),
                            .kind = static_cast<request_kind>(kind),
                            .number = planned.size()});
    }
    return planned;
}

prepared_request build_request(const load_options& options, const planned_request& planned)
{
    constexpr std::int64_t tokens_per_message = 8;
    const std::string label = std::to_string(options.seed) + "-" + std::to_string(planned.number);
    Json::Value body(Json::objectValue);
    body["model"] = options.model;
    Json::Value& messages = body["messages"];
    if (planned.kind == request_kind::shared_prefix) {
        const std::string prefix = "policy " + std::to_string(planned.number % shared_prefixes);
        messages.append(message("system", pad_text(prefix, options.prefix_bytes)));
    }
    messages.append(
        message("user", pad_text("request " + label, std::max(options.prompt_bytes, label.size() + 8))));
    const bool is_short = planned.kind == request_kind::short_request;
    const std::int64_t output = is_short ? options.short_output_tokens : options.stream_output_tokens;
    body["max_tokens"] = static_cast<Json::Int64>(output);
    body["stream"] = !is_short;
    prepared_request prepared;
    prepared.worst_case_tokens = output + tokens_per_message;
    for (const Json::Value& entry : messages) {
        prepared.worst_case_tokens +=
            static_cast<std::int64_t>(entry["content"].asString().size()) + tokens_per_message;
    }
    const std::uint64_t hash = prompt_hash(messages);
    for (std::int64_t position = 0; position < output; ++position) {
        prepared.expected_text += token_text(hash, position);
    }
    prepared.body = core::write_json(body);
    return prepared;
}

} // namespace samphireway::bench
