#include "gateway/exchange/upstream_choice.h"

#include "gateway/placement/placement.h"

#include <algorithm>
#include <vector>

namespace samphireway::gateway {

namespace {

bool has_several_versions(const std::vector<std::shared_ptr<const upstream>>& upstreams)
{
    return std::any_of(upstreams.begin(), upstreams.end(),
                       [&](const auto& entry) { return entry->version != upstreams.front()->version; });
}

} // namespace

std::shared_ptr<const upstream> find_upstream(gateway_context& context, const upstream_search& search,
                                              core::steady_time now)
{
    const std::shared_ptr<const upstream_table> table = context.board.upstreams.read();
    if (table == nullptr) {
        return nullptr;
    }
    const auto of_service = table->by_service.find(search.service_name);
    if (of_service == table->by_service.end()) {
        return nullptr;
    }
    const std::vector<std::shared_ptr<const upstream>> eligible = eligible_upstreams(
        of_service->second, search.versions.value_or(version_choice{}),
        [&context, now](const upstream& entry) {
            return context.health.is_ejected(entry.id) || !context.notices.allows(entry, now);
        });
    if (!context.rollouts.is_informed() && has_several_versions(eligible)) {
        return nullptr; // One of the versions may have been taken back.
    }
    std::vector<std::shared_ptr<const upstream>> usable;
    std::vector<placement_candidate> candidates;
    for (const std::shared_ptr<const upstream>& entry : eligible) {
        if (search.tried.contains(entry->id) || !context.notices.allows(*entry, now)) {
            continue;
        }
        const upstream_load load = context.loads.read(entry->id);
        const bool is_over_rate = !context.limits.allows(*entry);
        context.counts.choices_limited += is_over_rate ? 1 : 0;
        const bool has_seat = context.brittle.allows(*entry, load.in_flight);
        context.counts.choices_brittle += has_seat ? 0 : 1;
        const bool is_at_limit = is_over_rate || !has_seat;
        const bool is_ejected = context.health.is_ejected(entry->id);
        const bool is_trial = is_ejected && !is_at_limit && search.is_idempotent &&
                              context.health.check(entry->id, now) == routing::health_state::trial;
        if (is_trial) {
            return entry;
        }
        usable.push_back(entry);
        candidates.push_back(
            placement_candidate{.id = entry->id,
                                .in_flight = load.in_flight,
                                .is_same_zone = entry->availability_zone == context.availability_zone,
                                .is_full = now < load.full_until,
                                .is_ejected = is_ejected,
                                .has_limit = context.limits.has_limit(*entry) || !has_seat,
                                .is_at_limit = is_at_limit});
    }
    const std::optional<std::size_t> chosen =
        choose_upstream(candidates, placement_request{.prefix = search.prefix,
                                                      .shared_tokens = search.shared_tokens,
                                                      .selector = search.selector});
    if (!chosen && search.versions && search.versions->is_target) {
        // The few upstreams of a version under judgement may have reached their limits.
        std::optional<version_choice> others = search.versions;
        others->is_target = false;
        return find_upstream(context,
                             upstream_search{.service_name = search.service_name,
                                             .tried = search.tried,
                                             .prefix = search.prefix,
                                             .shared_tokens = search.shared_tokens,
                                             .selector = search.selector,
                                             .is_idempotent = search.is_idempotent,
                                             .versions = others},
                             now);
    }
    return chosen ? usable[*chosen] : nullptr;
}

std::optional<core::steady_time> find_next_capacity(const gateway_context& context,
                                                    const std::string& service_name, core::steady_time now)
{
    std::optional<core::steady_time> earliest;
    const std::shared_ptr<const upstream_table> table = context.board.upstreams.read();
    if (table == nullptr || !table->by_service.contains(service_name)) {
        return earliest;
    }
    for (const std::shared_ptr<const upstream>& entry : table->by_service.at(service_name)) {
        const core::steady_time end =
            std::max({context.notices.pause_end(*entry, now).value_or(now), context.limits.next_slot(*entry),
                      context.brittle.next_seat(*entry, context.loads.read(entry->id).in_flight)});
        if (end > now && (!earliest || end < *earliest)) {
            earliest = end;
        }
    }
    return earliest;
}

} // namespace samphireway::gateway
