#include "gateway/placement/upstream_notices.h"

#include <algorithm>

namespace samphireway::gateway {

void upstream_notices::record_leaving(const upstream& target)
{
    this->notices[incarnation_of(target)].is_leaving = true;
}

void upstream_notices::record_pause(const upstream& target, core::steady_time until)
{
    notice& known = this->notices[incarnation_of(target)];
    known.paused_until = std::max(known.paused_until, until);
}

bool upstream_notices::allows(const upstream& target, core::steady_time now) const
{
    const auto found = this->notices.find(incarnation_of(target));
    return found == this->notices.end() || (!found->second.is_leaving && now >= found->second.paused_until);
}

std::optional<core::steady_time> upstream_notices::pause_end(const upstream& target,
                                                             core::steady_time now) const
{
    const auto found = this->notices.find(incarnation_of(target));
    if (found == this->notices.end() || found->second.is_leaving || now >= found->second.paused_until) {
        return std::nullopt;
    }
    return found->second.paused_until;
}

void upstream_notices::sweep(const upstream_table& listed)
{
    const std::set<upstream_incarnation> known = incarnations_of(listed);
    std::erase_if(this->notices, [&known](const auto& entry) { return !known.contains(entry.first); });
}

} // namespace samphireway::gateway
