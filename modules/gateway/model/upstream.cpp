#include "gateway/model/upstream.h"

#include <algorithm>

namespace samphireway::gateway {

upstream_incarnation incarnation_of(const upstream& entry)
{
    return {entry.id, entry.started_at_ms};
}

bool has_upstream_at(const upstream_table& table, const std::string& address, std::uint16_t port)
{
    return std::any_of(table.by_service.begin(), table.by_service.end(), [&](const auto& service) {
        return std::any_of(service.second.begin(), service.second.end(), [&](const auto& entry) {
            return entry->port == port && entry->address == address;
        });
    });
}

std::set<upstream_incarnation> incarnations_of(const upstream_table& table)
{
    std::set<upstream_incarnation> result;
    for (const auto& [service, upstreams] : table.by_service) {
        for (const std::shared_ptr<const upstream>& entry : upstreams) {
            result.insert(incarnation_of(*entry));
        }
    }
    return result;
}

} // namespace samphireway::gateway
