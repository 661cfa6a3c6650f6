#include "gateway/http/upstream_pool.h"

#include <set>

namespace samphireway::gateway {

namespace asio = boost::asio;

upstream_pool::upstream_pool(asio::io_context& context, tunnel_client* tunnels_to_use)
    : io(context), tunnels(tunnels_to_use)
{
}

std::shared_ptr<upstream_connection> upstream_pool::acquire(const upstream& target, core::steady_time now)
{
    boost::system::error_code failure;
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(target.address, failure), target.port);
    std::vector<std::shared_ptr<upstream_connection>>& connections = this->idle[target.id];
    while (!connections.empty()) {
        std::shared_ptr<upstream_connection> connection = std::move(connections.back());
        connections.pop_back();
        if (connection->endpoint() == endpoint && this->is_fitting(*connection) &&
            connection->is_reusable(now)) {
            return connection;
        }
        connection->close();
    }
    return this->open(endpoint);
}

std::shared_ptr<upstream_connection> upstream_pool::open(const asio::ip::tcp::endpoint& endpoint)
{
    ++this->opened_count;
    if (this->tunnels == nullptr) {
        return std::make_shared<upstream_connection>(this->io, endpoint);
    }
    const std::optional<member> helper =
        this->tunnels->is_needed() ? this->tunnels->choose() : std::optional<member>();
    upstream_link link{.helper = helper, .on_connect = [this, endpoint, helper](link_outcome outcome) {
                           helper ? this->tunnels->record_helper(helper->id, outcome)
                                  : this->tunnels->record_own(endpoint, outcome == link_outcome::connected);
                       }};
    return std::make_shared<upstream_connection>(this->io, endpoint, std::move(link));
}

bool upstream_pool::is_fitting(const upstream_connection& connection) const
{
    const bool is_needed = this->tunnels != nullptr && this->tunnels->is_needed();
    // Without a helper an own connection that lives is all there is; new ones may be refused.
    return connection.is_tunnelled() == is_needed || (is_needed && !this->tunnels->choose());
}

void upstream_pool::release(const std::string& upstream_id, std::shared_ptr<upstream_connection> connection,
                            core::steady_time now)
{
    if (this->is_fitting(*connection) && connection->is_reusable(now)) {
        this->idle[upstream_id].push_back(std::move(connection));
        return;
    }
    connection->close();
}

void upstream_pool::drop(const std::string& upstream_id)
{
    const auto found = this->idle.find(upstream_id);
    if (found == this->idle.end()) {
        return;
    }
    for (const std::shared_ptr<upstream_connection>& connection : found->second) {
        connection->close();
    }
    this->idle.erase(found);
}

void upstream_pool::sweep(const upstream_table& listed, core::steady_time now)
{
    std::set<std::string> listed_ids;
    for (const auto& [service, upstreams] : listed.by_service) {
        for (const std::shared_ptr<const upstream>& entry : upstreams) {
            listed_ids.insert(entry->id);
        }
    }
    for (auto& [id, connections] : this->idle) {
        const bool is_listed = listed_ids.contains(id);
        std::erase_if(connections, [&, is_listed](const std::shared_ptr<upstream_connection>& connection) {
            const bool is_usable = is_listed && connection->is_reusable(now);
            if (!is_usable) {
                connection->close();
            }
            return !is_usable;
        });
    }
    std::erase_if(this->idle, [](const auto& entry) { return entry.second.empty(); });
}

} // namespace samphireway::gateway
