#include "gateway/placement/upstream_limits.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace samphireway::gateway {

namespace {

using std::chrono::duration_cast;
using std::chrono::nanoseconds;

// An upstream that accepts less is sent a request now and then, to learn when its limit ends.
constexpr double lowest_rate = 0.1;
// Higher limits bind no node, and slots would be shorter than the clock's resolution.
constexpr double highest_rate = 1e5;
// Shorter slots are joined up to this length, so that requests that come together fit into one.
constexpr std::chrono::duration<double> joined_slots{0.5};
// A slot is lost if it is not used for this long. Nodes that were idle then send together at most what the
// limit allows in this time.
constexpr std::chrono::milliseconds slot_use{1500};

} // namespace

upstream_limits::upstream_limits(upstream_limit_options options_to_use) : options(std::move(options_to_use))
{
}

void upstream_limits::record(const upstream& target, double rate)
{
    if (!std::isfinite(rate) || rate < 0) {
        return;
    }
    const double used_rate = std::clamp(rate, lowest_rate, highest_rate);
    known_limit& limit = this->limits[incarnation_of(target)];
    if (limit.rate == used_rate) {
        return;
    }
    core::log_event(core::log_level::info, "upstream_limit_known",
                    {{"upstream", target.id},
                     {"service", target.service},
                     {"per_minute", std::llround(60 * used_rate)},
                     {"before_per_minute", std::llround(60 * limit.rate)},
                     {"nodes", static_cast<long long>(this->find_place().nodes)}});
    limit.rate = used_rate;
    // The request of the response, and those sent with it, count in the present slot.
    const slot present = this->slot_at(target, limit, this->options.time.now());
    limit.slot_end = present.end;
    limit.used = present.requests;
}

void upstream_limits::record_none(const upstream& target)
{
    if (this->limits.erase(incarnation_of(target)) > 0) {
        core::log_event(core::log_level::info, "upstream_limit_ended",
                        {{"upstream", target.id}, {"service", target.service}});
    }
}

upstream_limits::place upstream_limits::find_place() const
{
    const std::shared_ptr<const member_list> known = this->options.members();
    place result;
    if (known == nullptr || known->members.empty()) {
        return result;
    }
    result.nodes = known->members.size();
    result.rank = static_cast<std::size_t>(
        std::count_if(known->members.begin(), known->members.end(),
                      [this](const member& other) { return other.id < this->options.node; }));
    return result;
}

upstream_limits::slot upstream_limits::slot_at(const upstream& target, const known_limit& limit,
                                               core::wall_time now) const
{
    const place own = this->find_place();
    const std::chrono::duration<double> apart(static_cast<double>(own.nodes) /
                                              (limit.rate * this->options.utilization));
    const int requests = std::max(1, static_cast<int>(joined_slots / apart));
    const auto length = duration_cast<nanoseconds>(apart * requests);
    const nanoseconds turn =
        length / static_cast<std::int64_t>(own.nodes) * static_cast<std::int64_t>(own.rank);
    // Nodes do not begin with the same upstream.
    const nanoseconds phase(static_cast<std::int64_t>(core::hash64(target.id) >> 1U) % length.count());
    const nanoseconds since = (now.time_since_epoch() + turn + phase) % length;
    const core::wall_time begin = now - duration_cast<core::wall_time::duration>(since);
    const auto later = [begin](nanoseconds span) {
        return begin + duration_cast<core::wall_time::duration>(span);
    };
    return {.usable_until = later(std::min<nanoseconds>(length, slot_use)),
            .end = later(length),
            .requests = requests};
}

core::wall_time upstream_limits::next_slot(const upstream& target, const known_limit& limit,
                                           core::wall_time now) const
{
    const slot current = this->slot_at(target, limit, now);
    // A later end than the present slot's is from before the time of day was set back.
    const int used = now < limit.slot_end && limit.slot_end <= current.end ? limit.used : 0;
    return now < current.usable_until && used < current.requests ? now : current.end;
}

bool upstream_limits::has_limit(const upstream& target) const
{
    return !this->limits.empty() && this->limits.contains(incarnation_of(target));
}

bool upstream_limits::allows(const upstream& target) const
{
    const auto found = this->limits.empty() ? this->limits.end() : this->limits.find(incarnation_of(target));
    if (found == this->limits.end()) {
        return true;
    }
    const core::wall_time now = this->options.time.now();
    return this->next_slot(target, found->second, now) <= now;
}

core::steady_time upstream_limits::next_slot(const upstream& target) const
{
    const core::steady_time steady = this->options.time.steady();
    const auto found = this->limits.find(incarnation_of(target));
    if (found == this->limits.end()) {
        return steady;
    }
    const core::wall_time now = this->options.time.now();
    return steady +
           duration_cast<core::steady_time::duration>(this->next_slot(target, found->second, now) - now);
}

void upstream_limits::count(const upstream& target)
{
    const auto found = this->limits.find(incarnation_of(target));
    if (found == this->limits.end()) {
        return;
    }
    const core::wall_time now = this->options.time.now();
    const slot current = this->slot_at(target, found->second, now);
    known_limit& limit = found->second;
    if (limit.slot_end != current.end) {
        limit.slot_end = current.end;
        limit.used = 0;
    }
    ++limit.used;
}

void upstream_limits::sweep(const upstream_table& listed)
{
    const std::set<upstream_incarnation> known = incarnations_of(listed);
    std::erase_if(this->limits, [&known](const auto& entry) { return !known.contains(entry.first); });
}

std::size_t upstream_limits::size() const noexcept
{
    return this->limits.size();
}

} // namespace samphireway::gateway
