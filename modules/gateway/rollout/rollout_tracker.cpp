#include "gateway/rollout/rollout_tracker.h"

#include <set>

namespace samphireway::gateway {

std::string_view to_string(rollout_state state) noexcept
{
    switch (state) {
    case rollout_state::pending:
        return "pending";
    case rollout_state::running:
        return "running";
    case rollout_state::completed:
        return "completed";
    case rollout_state::rolled_back:
        break;
    }
    return "rolled_back";
}

bool is_final(rollout_state state) noexcept
{
    return state == rollout_state::completed || state == rollout_state::rolled_back;
}

rollout_tracker::rollout_tracker(rollout_reader reader_to_use) : read(std::move(reader_to_use)) {}

std::shared_ptr<const rollout_table> rollout_tracker::apply(const followed_batch& received,
                                                            core::steady_time now)
{
    std::set<std::string> seen;
    for (const platform::object& object : received.batch.changed) {
        core::result<rollout_order> order = core::failure(core::error_code::not_found, "removed");
        if (!object.value.isNull()) {
            order = this->read(object);
            if (!order) {
                core::log_event(core::log_level::error, "rollout_unreadable",
                                {{"key", object.key}, {"reason", order.error().message}});
            }
        }
        if (order) {
            seen.insert(object.key);
            this->set(object.key, std::move(*order), received.is_after_restore, now);
        }
        else if (const auto known = this->services.extract(object.key)) {
            this->entries.erase(known.mapped());
        }
    }
    if (received.is_full_list && !received.is_after_restore) {
        std::erase_if(this->services, [&](const auto& known) {
            const bool is_removed = !seen.contains(known.first);
            if (is_removed) {
                this->entries.erase(known.second);
            }
            return is_removed;
        });
    }
    this->has_applied = true;
    return std::make_shared<const rollout_table>(this->entries);
}

void rollout_tracker::set(const std::string& key, rollout_order order, bool is_after_restore,
                          core::steady_time now)
{
    this->services[key] = order.service;
    const auto known = this->entries.find(order.service);
    const bool is_same_order = known != this->entries.end() && known->second.order.target == order.target &&
                               known->second.order.duration == order.duration;
    const bool may_be_lost = is_same_order && (is_after_restore || known->second.has_lost_state);
    if (may_be_lost && is_final(known->second.order.state) && !is_final(order.state)) {
        order.state = known->second.order.state;
        known->second.has_lost_state = true;
    }
    else if (is_same_order) {
        known->second.has_lost_state = false;
    }
    if (is_same_order && known->second.order.state == order.state) {
        known->second.order = std::move(order);
        return;
    }
    core::log_event(core::log_level::info, "rollout_known",
                    {{"service", order.service},
                     {"target", order.target},
                     {"duration_ms", static_cast<long long>(order.duration.count())},
                     {"state", to_string(order.state)},
                     {"revision", static_cast<long long>(order.revision)}});
    known_rollout& entry = this->entries[order.service];
    if (!is_same_order) {
        entry = known_rollout{.order = {}, .first_seen = now, .is_found_at_start = !this->has_applied};
    }
    entry.order = std::move(order);
}

} // namespace samphireway::gateway
