#include "moves/shares/version_router.h"

namespace samphireway::moves {

namespace {

/// Limit of the new version's share of the requests counted on a route at a node. Lies between the
/// share that is drawn at random during the canary and the bound of 2%.
constexpr double maximum_counted_share = 0.017;

/// Limits on the canary's requests at one node, for a route and a workspace: twice and four
/// times the requests that clear a route. They bound a route even if the record that clears
/// it does not reach this node.
constexpr std::uint32_t route_limit = 400;
constexpr std::uint32_t workspace_limit = 800;

/// With fewer requests than this at a node, the counted share of a route does not allow a single
/// request to the new version. Such routes share a pooled limit, so that a fleet with many nodes and
/// low-traffic routes still gets evidence.
constexpr std::uint32_t low_traffic_requests = 59;

constexpr std::size_t maximum_routes = 1U << 16U;

} // namespace

bool version_router::allows_one_more(const counts& seen) noexcept
{
    return static_cast<double>(seen.new_requests + 1) <=
           maximum_counted_share * static_cast<double>(seen.total);
}

version_router::version_router() : published(std::make_shared<const share_table>()) {}

void version_router::publish(std::shared_ptr<const share_table> shares)
{
    this->published.publish(std::move(shares));
}

std::shared_ptr<const share_table> version_router::shares() const
{
    return this->published.read();
}

std::vector<std::string> version_router::choose(const version_request& request, double random)
{
    const std::shared_ptr<const share_table> in_force = this->published.read();
    const auto found = in_force->find(request.model);
    if (found == in_force->end()) {
        return {};
    }
    const model_shares& shares = found->second;
    std::vector<std::string> versions;
    if (!shares.new_version.empty() && !request.is_retry) {
        const bool is_cleared = shares.cleared.contains(plan_route(request.workspace, request.plan));
        const double share = is_cleared ? shares.cleared_share : shares.uncleared_share;
        const bool is_drawn = random < share;
        const bool is_bounded = !is_cleared && share <= canary_share;
        if (is_bounded ? this->allow_canary(shares, request, is_drawn) : is_drawn) {
            versions.push_back(shares.new_version);
        }
    }
    versions.push_back(shares.stable_version);
    if (!shares.fallback_version.empty()) {
        versions.push_back(shares.fallback_version);
    }
    return versions;
}

version_router::counts* version_router::find_or_add(const std::string& key, std::uint64_t generation)
{
    const std::uint64_t hash = core::hash64(key);
    if (this->routes.size() >= maximum_routes && !this->routes.contains(hash)) {
        return nullptr;
    }
    counts& found = this->routes[hash];
    if (found.generation != generation) {
        found = counts{.generation = generation};
    }
    return &found;
}

bool version_router::allow_canary(const model_shares& shares, const version_request& request, bool is_drawn)
{
    const std::string prefix = shares.move + "\n";
    const std::lock_guard lock(this->mutex);
    counts* route =
        this->find_or_add(prefix + plan_route(request.workspace, request.plan), shares.generation);
    counts* workspace = this->find_or_add(prefix + workspace_route(request.workspace), shares.generation);
    counts* low_traffic = this->find_or_add(prefix, shares.generation);
    if (route == nullptr || workspace == nullptr || low_traffic == nullptr) {
        return false;
    }
    ++route->total;
    const bool is_low_traffic = route->total < low_traffic_requests;
    low_traffic->total += is_low_traffic ? 1 : 0;
    const bool is_within_pooled_share =
        is_low_traffic && route->new_requests == 0 && allows_one_more(*low_traffic);
    const bool is_within_limits = (is_within_pooled_share || allows_one_more(*route)) &&
                                  route->new_requests < route_limit &&
                                  workspace->new_requests < workspace_limit;
    if (!is_drawn || !is_within_limits) {
        return false;
    }
    ++route->new_requests;
    ++workspace->new_requests;
    low_traffic->new_requests += is_low_traffic ? 1 : 0;
    return true;
}

} // namespace samphireway::moves
