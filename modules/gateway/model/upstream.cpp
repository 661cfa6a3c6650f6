#include "gateway/model/upstream.h"

namespace samphireway::gateway {

upstream_incarnation incarnation_of(const upstream& entry)
{
    return {entry.id, entry.started_at_ms};
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
