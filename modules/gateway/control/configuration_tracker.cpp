#include "gateway/control/configuration_tracker.h"

namespace samphireway::gateway {

configuration_tracker::configuration_tracker(std::string key_to_use, configuration_reader reader_to_use)
    : key(std::move(key_to_use)), read(std::move(reader_to_use))
{
}

std::shared_ptr<const route_table> configuration_tracker::apply(const followed_batch& received)
{
    std::shared_ptr<const route_table> next;
    for (const platform::object& object : received.batch.changed) {
        if (object.key != this->key || object.value.isNull()) {
            continue;
        }
        core::result<configuration> parsed = this->read(object.value);
        if (!parsed) {
            core::log_event(core::log_level::error, "configuration_unreadable",
                            {{"reason", parsed.error().message},
                             {"in_force", static_cast<long long>(this->current_version)}});
            continue;
        }
        if (parsed->version <= this->current_version) {
            core::log_event(core::log_level::info, "configuration_not_newer",
                            {{"version", static_cast<long long>(parsed->version)},
                             {"in_force", static_cast<long long>(this->current_version)},
                             {"source", received.source},
                             {"revision", static_cast<long long>(received.batch.revision)}});
            continue;
        }
        core::log_event(core::log_level::info, "configuration_in_force",
                        {{"version", static_cast<long long>(parsed->version)},
                         {"before", static_cast<long long>(this->current_version)},
                         {"routes", static_cast<long long>(parsed->routes.size())},
                         {"source", received.source},
                         {"revision", static_cast<long long>(received.batch.revision)}});
        this->current_version = parsed->version;
        next = std::make_shared<const route_table>(std::move(*parsed));
    }
    return next;
}

} // namespace samphireway::gateway
