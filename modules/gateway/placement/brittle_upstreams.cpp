#include "gateway/placement/brittle_upstreams.h"

#include <algorithm>
#include <cmath>

namespace samphireway::gateway {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;

// Nodes still have turns at an upstream that stands less.
constexpr double lowest_refusals = 0.1;
// Higher figures bind no node.
constexpr double highest_refusals = 1e5;
// Part of the refusals in a second that the seats may cause; the turns have the rest.
constexpr double part_of_seats = 2.0 / 3;
// Turns begin this part of the refusals a second; each is usable for half a second, so that at most one and a
// half times as many fall into a second.
constexpr double part_of_turns = 2.0 / 9;
constexpr milliseconds turn_use{500};
// Keeps products that are whole numbers from being cut to the number below.
constexpr double rounding = 1e-9;
// A second by the upstream's clock, and the way of a refusal to this node.
constexpr milliseconds seat_hold{1300};
// Upstreams keep their room for three seconds after they begin to be brittle.
constexpr milliseconds contact{2500};
// Responses that were on their way may still differ for this long when a service's state changes.
constexpr milliseconds fresh_for{2000};
// A node without a seat asks this rarely whether the state has ended.
constexpr milliseconds asks_after{60000};
// About the time in which one of some requests ends.
constexpr milliseconds expected_end{300};

} // namespace

brittle_upstreams::brittle_upstreams(brittle_upstream_options options_to_use)
    : options(std::move(options_to_use))
{
}

void brittle_upstreams::record(const upstream& target, double refusals_per_second)
{
    if (!std::isfinite(refusals_per_second) || refusals_per_second <= 0) {
        return;
    }
    const core::steady_time now = this->options.time.steady();
    const double refusals = std::clamp(refusals_per_second, lowest_refusals, highest_refusals);
    const auto [notice, is_new] = this->services.try_emplace(target.service);
    if (is_new) {
        notice->second.since = now;
        // The upstreams may be brittle for long if this node has not heard from them lately.
        const auto sound = this->last_sound.find(target.service);
        notice->second.contact_until = sound == this->last_sound.end() ? now : sound->second + contact;
    }
    notice->second.refusals = refusals;
    notice->second.fresh_until = now + fresh_for;
    known_upstream& known = this->update(target, notice->second);
    known.heard = now;
    known.is_sound = false;
    if (known.refusals == refusals) {
        return;
    }
    core::log_event(core::log_level::info, "brittle_upstream_known",
                    {{"upstream", target.id},
                     {"service", target.service},
                     {"refusals_per_minute", std::llround(60 * refusals)},
                     {"before_per_minute", std::llround(60 * known.refusals)},
                     {"seats", this->find_share(target, refusals).seats}});
    known.refusals = refusals;
}

void brittle_upstreams::record_none(const upstream& target)
{
    const core::steady_time now = this->options.time.steady();
    this->last_sound[target.service] = now;
    const auto before = this->upstreams.find(incarnation_of(target));
    if (before != this->upstreams.end() && before->second.refusals > 0) {
        core::log_event(core::log_level::info, "brittle_upstream_ended",
                        {{"upstream", target.id}, {"service", target.service}});
        before->second.refusals = 0;
    }
    const auto notice = this->services.find(target.service);
    if (notice == this->services.end()) {
        return;
    }
    known_upstream& known = this->update(target, notice->second);
    known = {.is_sound = true, .unproven_since = now, .heard = now};
    if (now >= notice->second.fresh_until) {
        this->services.erase(notice);
    }
}

const brittle_upstreams::service_notice* brittle_upstreams::find_notice(const upstream& target) const
{
    if (this->services.empty()) {
        return nullptr;
    }
    const auto found = this->services.find(target.service);
    return found == this->services.end() ? nullptr : &found->second;
}

brittle_upstreams::known_upstream brittle_upstreams::state_of(const upstream& target,
                                                              const service_notice& notice) const
{
    const auto found = this->upstreams.find(incarnation_of(target));
    // Older state is from an earlier time in which the service was brittle.
    if (found != this->upstreams.end() && found->second.heard >= notice.since) {
        return found->second;
    }
    // One that started later has no requests from before the notice in its queue.
    const core::wall_time noticed =
        this->options.time.now() -
        duration_cast<core::wall_time::duration>(this->options.time.steady() - notice.since);
    const bool is_newer = milliseconds(target.started_at_ms) > noticed.time_since_epoch();
    return {.is_proven = is_newer, .unproven_since = notice.since, .heard = notice.since};
}

brittle_upstreams::known_upstream& brittle_upstreams::update(const upstream& target,
                                                             const service_notice& notice)
{
    return this->upstreams[incarnation_of(target)] = this->state_of(target, notice);
}

brittle_upstreams::known_upstream* brittle_upstreams::find(const upstream& target)
{
    const auto found =
        this->upstreams.empty() ? this->upstreams.end() : this->upstreams.find(incarnation_of(target));
    return found == this->upstreams.end() || found->second.is_sound ? nullptr : &found->second;
}

brittle_upstreams::share brittle_upstreams::find_share(const upstream& target, double refusals) const
{
    std::size_t nodes = 1;
    std::size_t rank = 0;
    const std::shared_ptr<const member_list> members = this->options.members();
    if (members != nullptr && !members->members.empty()) {
        nodes = members->members.size();
        rank = static_cast<std::size_t>(
            std::count_if(members->members.begin(), members->members.end(),
                          [this](const member& other) { return other.id < this->options.node; }));
    }
    const auto spare = static_cast<std::size_t>(std::floor(refusals * part_of_seats + rounding));
    const auto seats_of = [spare](const upstream& entry) {
        return static_cast<std::size_t>(std::max(entry.slots, 1)) + spare;
    };
    // The service's seats are dealt out in turn, so that no node is left without one by chance.
    std::size_t dealt = 0;
    const std::shared_ptr<const upstream_table> table = this->options.upstreams();
    const auto of_service =
        table == nullptr ? decltype(table->by_service.end()){} : table->by_service.find(target.service);
    if (table != nullptr && of_service != table->by_service.end()) {
        for (const std::shared_ptr<const upstream>& entry : of_service->second) {
            dealt += entry->id < target.id ? seats_of(*entry) : 0;
        }
    }
    const std::size_t seats = seats_of(target);
    const std::size_t place = (rank + nodes - dealt % nodes) % nodes;
    share result{.seats = static_cast<int>(seats / nodes + (place < seats % nodes ? 1 : 0))};

    const auto apart =
        duration_cast<nanoseconds>(std::chrono::duration<double>(1 / (refusals * part_of_turns)));
    const std::size_t holders = std::min(nodes, seats);
    const nanoseconds round = apart * static_cast<std::int64_t>(holders);
    const nanoseconds phase(static_cast<std::int64_t>(core::hash64(target.id) >> 1U) % round.count());
    const nanoseconds since = (this->options.time.now().time_since_epoch() + phase +
                               apart * static_cast<std::int64_t>(holders - place % holders)) %
                              round;
    const auto steady = [](nanoseconds span) {
        return duration_cast<core::steady_time::duration>(span);
    };
    result.turn = this->options.time.steady() - steady(since);
    result.next_turn = result.turn + steady(round);
    result.turn_usable_until = result.turn + steady(std::min<nanoseconds>(round, turn_use));
    return result;
}

core::steady_time brittle_upstreams::next_seat(const upstream& target, int in_flight,
                                               core::steady_time now) const
{
    const service_notice* const notice = this->find_notice(target);
    if (notice == nullptr) {
        return now;
    }
    const known_upstream known = this->state_of(target, *notice);
    if (known.is_sound) {
        return now;
    }
    const share own = this->find_share(target, known.refusals > 0 ? known.refusals : notice->refusals);
    const bool is_in_turn = now < own.turn_usable_until && known.last_sent < own.turn;
    if (own.seats == 0) {
        const core::steady_time asks = std::max(known.heard, known.last_sent) + asks_after;
        return now < asks ? asks : is_in_turn ? now : own.next_turn;
    }
    int held = 0;
    core::steady_time free = now + expected_end;
    for (const core::steady_time end : known.held_until) {
        held += now < end ? 1 : 0;
        free = now < end ? std::min(free, end) : free;
    }
    if (known.is_proven) {
        return in_flight + held < own.seats ? now : free;
    }
    if (now < notice->contact_until && known.last_sent < notice->since) {
        return now;
    }
    if (in_flight + held >= own.seats) {
        return free;
    }
    return is_in_turn ? now : own.next_turn;
}

bool brittle_upstreams::allows(const upstream& target, int in_flight) const
{
    if (this->services.empty()) {
        return true;
    }
    const core::steady_time now = this->options.time.steady();
    return this->next_seat(target, in_flight, now) <= now;
}

core::steady_time brittle_upstreams::next_seat(const upstream& target, int in_flight) const
{
    return this->next_seat(target, in_flight, this->options.time.steady());
}

void brittle_upstreams::count(const upstream& target)
{
    const service_notice* const notice = this->find_notice(target);
    if (notice == nullptr) {
        return;
    }
    known_upstream& known = this->update(target, *notice);
    if (!known.is_sound && !known.is_proven) {
        known.last_sent = this->options.time.steady();
    }
}

void brittle_upstreams::record_accepted(const upstream& target, core::steady_time sent)
{
    known_upstream* const known = this->find(target);
    if (known != nullptr && sent >= known->unproven_since) {
        known->is_proven = true;
    }
}

void brittle_upstreams::record_refused(const upstream& target)
{
    this->record_abandoned(target);
    if (known_upstream* const known = this->find(target); known != nullptr) {
        known->is_proven = false;
        known->unproven_since = this->options.time.steady();
    }
}

void brittle_upstreams::record_abandoned(const upstream& target)
{
    known_upstream* const known = this->find(target);
    if (known == nullptr) {
        return;
    }
    const core::steady_time now = this->options.time.steady();
    std::erase_if(known->held_until, [now](core::steady_time end) { return end <= now; });
    known->held_until.push_back(now + seat_hold);
}

void brittle_upstreams::sweep(const upstream_table& listed)
{
    const std::set<upstream_incarnation> known = incarnations_of(listed);
    std::erase_if(this->upstreams, [&known](const auto& entry) { return !known.contains(entry.first); });
    const auto is_gone = [&listed](const auto& entry) {
        return !listed.by_service.contains(entry.first);
    };
    std::erase_if(this->services, is_gone);
    std::erase_if(this->last_sound, is_gone);
}

std::size_t brittle_upstreams::size() const noexcept
{
    return static_cast<std::size_t>(
        std::count_if(this->upstreams.begin(), this->upstreams.end(),
                      [](const auto& entry) { return entry.second.refusals > 0; }));
}

} // namespace samphireway::gateway
