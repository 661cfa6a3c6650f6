#include "traffic/server/authentication.h"

namespace samphireway::traffic {

namespace {

constexpr std::string_view bearer_prefix = "Bearer ";

bool matches_key(const configuration::plan& plan, const std::string& secret)
{
    const std::string hash = core::sha256_hex(secret);
    bool is_found = false;
    for (const std::string& stored : plan.key_hashes) {
        is_found = core::equal_in_constant_time(stored, hash) || is_found;
    }
    return is_found;
}

} // namespace

core::result<caller_identity> authenticate(const configuration::snapshot& configuration,
                                           const std::string& authorization)
{
    const tl::unexpected<core::error> refusal =
        core::failure(core::error_code::unauthenticated, "missing or unknown key");
    if (!authorization.starts_with(bearer_prefix)) {
        return refusal;
    }
    const std::string key = authorization.substr(bearer_prefix.size());
    const std::size_t dot = key.find('.');
    if (dot == std::string::npos) {
        return refusal;
    }
    const std::optional<configuration::plan> plan = configuration.find_plan(key.substr(0, dot));
    if (!plan || !plan->is_enabled || !matches_key(*plan, key.substr(dot + 1))) {
        return refusal;
    }
    return caller_identity{.plan = plan->id, .workspace = plan->workspace};
}

} // namespace samphireway::traffic
