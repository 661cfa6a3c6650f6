#include "gateway/exchange/request_resolution.h"

#include "gateway/exchange/attempt_policy.h"

#include <algorithm>

namespace samphireway::gateway {

namespace {

using std::chrono::milliseconds;
using clock = std::chrono::steady_clock;

// Expected time after its start until a node has received its routes and upstreams.
constexpr milliseconds expected_startup_time{400};
// Assumed time left of a request whose own deadline could not be read; limits the Retry-After advice.
constexpr std::chrono::seconds default_time_left{1};

/** Returns the hash of the prompt parts that other requests may share: all but the last, at least one. */
std::optional<std::uint64_t> hash_shared_parts(const std::vector<prompt_part>& parts)
{
    if (parts.empty()) {
        return std::nullopt;
    }
    const std::size_t shared = std::max<std::size_t>(1, parts.size() - 1);
    std::string key;
    for (std::size_t index = 0; index < shared; ++index) {
        key += parts[index].id + ',';
    }
    return core::hash64(key);
}

} // namespace

core::result<void> resolve_request(resolved_request& found, const gateway_context& context,
                                   const request_message& request, core::steady_time arrival)
{
    found.deadline = arrival + default_time_left;
    core::result<request_facts> read = context.dialect.read_request(request.headers);
    if (!read) {
        return tl::unexpected(read.error());
    }
    found.facts = std::move(*read);
    found.selector = core::hash64(found.facts.attempt_id);
    found.table = context.board.routes.read();
    if (found.table == nullptr) {
        return tl::unexpected(core::error{.code = core::error_code::platform_unavailable,
                                          .message = "no configuration is known yet",
                                          .retry_after = expected_startup_time});
    }
    const std::string* host = find_header(request.headers, "Host");
    found.matched_route = host == nullptr ? nullptr : found.table->find_route(*host, request.target);
    if (found.matched_route == nullptr || found.matched_route->shares.empty()) {
        return core::failure(core::error_code::not_found, "no route matches the host and path");
    }
    found.customer = found.table->find_workspace(found.facts.key);
    if (found.table->needs_key() && !found.matched_route->is_anonymous && found.customer == nullptr) {
        return core::failure(core::error_code::unauthenticated, "the API key is missing or unknown");
    }
    found.deadline = arrival + std::min(found.matched_route->timeout,
                                        found.facts.time_left.value_or(found.matched_route->timeout));
    const core::steady_time latest = context.drain.answer_by.value_or(found.deadline);
    const bool may_be_cut = found.deadline > latest && !is_idempotent(*found.matched_route);
    if (context.drain.refuses(clock::now()) || may_be_cut) {
        return tl::unexpected(core::error{.code = core::error_code::draining,
                                          .message = "this node is stopping",
                                          .retry_after = milliseconds(10)});
    }
    found.deadline = std::min(found.deadline, latest);
    found.service_name = choose_service(*found.matched_route, found.selector);
    const service* target = found.table->find_service(found.service_name);
    if (target != nullptr && target->engine) {
        found.tokens_per_event = target->engine->tokens_per_event;
    }
    found.prefix = hash_shared_parts(found.facts.prompt_parts);
    for (const prompt_part& part : found.facts.prompt_parts) {
        found.prompt_part_ids.push_back(part.id);
        found.shared_tokens += part.tokens;
    }
    if (!found.facts.prompt_parts.empty()) {
        found.shared_tokens -=
            found.facts.prompt_parts.back().tokens; // Other prompts share all but the last.
    }
    return {};
}

} // namespace samphireway::gateway
