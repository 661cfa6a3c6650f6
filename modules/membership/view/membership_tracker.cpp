#include "membership/view/membership_tracker.h"

#include <algorithm>
#include <bit>

namespace samphireway::membership {

namespace {

// Every eighth interval also calls a peer that is gone, so that the sides of a healed partition find each
// other.
constexpr std::uint64_t gone_probe_period_intervals = 8;

// Evidence of suspect incarnations is kept long enough for a long partition between availability zones.
constexpr std::chrono::hours gone_retention{2};

std::uint64_t ring_position(const std::string& id)
{
    return core::hash64(id);
}

std::vector<const peer_record*> in_ring_order(const peer_view& view, const std::string& self)
{
    std::vector<const peer_record*> ring;
    for (const auto& [id, record] : view) {
        if (record.state != peer_state::gone) {
            ring.push_back(&record);
        }
    }
    const std::uint64_t start = ring_position(self);
    std::sort(ring.begin(), ring.end(), [start](const peer_record* left, const peer_record* right) {
        return ring_position(left->facts.endpoint.identity.id) - start <
               ring_position(right->facts.endpoint.identity.id) - start;
    });
    return ring;
}

} // namespace

membership_tracker::membership_tracker(tracker_options options_to_use)
    : options(std::move(options_to_use)), random(this->options.random_seed)
{
}

view_inputs membership_tracker::inputs() const
{
    view_inputs current{.self = this->options.self.endpoint.identity,
                        .peer_port = this->options.self.endpoint.port,
                        .evidence = {},
                        .vms = this->vms};
    for (const auto& [incarnation, entry] : this->evidence) {
        current.evidence.push_back(entry);
    }
    return current;
}

void membership_tracker::observe_vms(const platform::vm_list_reading& reading, core::steady_time now)
{
    const std::lock_guard lock(this->mutex);
    if (this->vms && reading.revision < this->vms->reading.revision) {
        return;
    }
    vm_evidence next{.reading = reading, .read_at = now, .first_listed = {}};
    for (const platform::vm& vm : reading.vms) {
        next.first_listed[vm.id] = now;
        if (this->vms && this->vms->first_listed.contains(vm.id)) {
            next.first_listed[vm.id] = this->vms->first_listed.at(vm.id);
        }
    }
    this->vms = std::move(next);
    this->remove_gone(now);
}

peer_evidence& membership_tracker::evidence_of(const peer_facts& facts, core::steady_time now)
{
    const auto [entry, is_new] = this->evidence.try_emplace(facts.endpoint.identity.incarnation);
    if (is_new) {
        entry->second.facts = facts;
        entry->second.first_known = now;
        this->enqueue_rumour(entry->second, peer_state::live);
    }
    return entry->second;
}

void membership_tracker::observe_heartbeat(const peer_identity& sender, const heartbeat& received,
                                           core::steady_time now)
{
    const std::lock_guard lock(this->mutex);
    peer_facts facts = received.self;
    facts.endpoint.identity = sender;
    peer_evidence& entry = this->evidence_of(facts, now);
    const bool was_suspect = entry.suspected_since.has_value();
    entry.facts = facts;
    entry.last_heard = now;
    entry.suspected_since.reset();
    if (received.is_leaving != entry.announces_leaving) {
        entry.announces_leaving = received.is_leaving;
        entry.revision = std::max(entry.revision, received.revision);
        this->enqueue_rumour(entry, entry.announces_leaving ? peer_state::leaving : peer_state::live);
    }
    else if (was_suspect && received.revision > entry.revision) {
        entry.revision = received.revision;
        this->enqueue_rumour(entry, peer_state::live);
    }
    entry.revision = std::max(entry.revision, received.revision);
    for (const rumour& report : received.rumours) {
        this->observe_rumour(report, now);
    }
}

void membership_tracker::observe_call(const std::string& peer_id, bool has_answered, core::steady_time now)
{
    const std::lock_guard lock(this->mutex);
    int& failures = this->failed_calls[peer_id];
    failures = has_answered ? 0 : failures + 1;
    for (auto& [incarnation, entry] : this->evidence) {
        if (entry.facts.endpoint.identity.id != peer_id) {
            continue;
        }
        if (has_answered) {
            entry.failing_since.reset();
            continue;
        }
        if (!entry.failing_since) {
            entry.failing_since = now;
        }
        // A peer that still calls this node is alive, although this node cannot call it.
        const bool is_heard = entry.last_heard && *entry.last_heard > *entry.failing_since;
        if (failures >= failures_until_suspect && !is_heard) {
            this->mark_suspect(entry, now);
        }
    }
}

void membership_tracker::mark_suspect(peer_evidence& entry, core::steady_time now)
{
    if (entry.suspected_since) {
        return;
    }
    entry.suspected_since = now;
    this->enqueue_rumour(entry, peer_state::suspect);
}

void membership_tracker::learn_peers(const std::vector<rumour>& peers, core::steady_time now)
{
    const std::lock_guard lock(this->mutex);
    for (const rumour& report : peers) {
        const peer_identity& subject = report.subject.endpoint.identity;
        if (subject.id == this->options.self.endpoint.identity.id ||
            this->evidence.contains(subject.incarnation)) {
            continue;
        }
        peer_evidence& entry = this->evidence[subject.incarnation];
        entry.facts = report.subject;
        entry.first_known = now;
        entry.revision = report.revision;
        entry.announces_leaving = report.state == peer_state::leaving;
        if (report.state == peer_state::suspect) {
            entry.suspected_since = now;
        }
    }
}

void membership_tracker::observe_rumour(const rumour& received, core::steady_time now)
{
    const peer_identity& subject = received.subject.endpoint.identity;
    if (subject.incarnation == this->options.self.endpoint.identity.incarnation) {
        if (received.state != peer_state::live && received.revision >= this->revision &&
            !(this->is_leaving && received.state == peer_state::leaving)) {
            this->revision = received.revision + 1;
        }
        return;
    }
    if (subject.id == this->options.self.endpoint.identity.id) {
        return;
    }
    const bool is_known = this->evidence.contains(subject.incarnation);
    if (!is_known && received.state == peer_state::gone) {
        return;
    }
    peer_evidence& entry = this->evidence_of(received.subject, now);
    const bool is_newer = received.revision > entry.revision;
    if (received.revision < entry.revision) {
        return;
    }
    entry.revision = received.revision;
    if (received.state == peer_state::live) {
        if (is_newer && entry.suspected_since) {
            entry.suspected_since.reset();
            this->enqueue_rumour(entry, peer_state::live);
        }
        return;
    }
    if (received.state == peer_state::leaving) {
        if (!entry.announces_leaving) {
            entry.announces_leaving = true;
            this->enqueue_rumour(entry, peer_state::leaving);
        }
        return;
    }
    if (received.state == peer_state::suspect || received.state == peer_state::gone) {
        this->mark_suspect(entry, now);
    }
}

int membership_tracker::rumour_repetitions() const
{
    // A rumour repeated three times the logarithm of the fleet's size reaches all nodes with high
    // probability, as in SWIM.
    return 3 * static_cast<int>(std::bit_width(this->evidence.size() + 1));
}

void membership_tracker::enqueue_rumour(const peer_evidence& entry, peer_state state)
{
    this->pending_rumours[entry.facts.endpoint.identity.incarnation] =
        pending_rumour{.content = {.subject = entry.facts, .state = state, .revision = entry.revision},
                       .repetitions = this->rumour_repetitions()};
}

heartbeat membership_tracker::next_heartbeat()
{
    const std::lock_guard lock(this->mutex);
    heartbeat next{.self = this->options.self,
                   .revision = this->revision,
                   .is_leaving = this->is_leaving,
                   .configuration_digest = this->options.configuration_digest(),
                   .requests_in_flight = this->options.requests_in_flight(),
                   .rumours = {}};
    std::vector<pending_rumour*> least_repeated;
    for (auto& [incarnation, entry] : this->pending_rumours) {
        least_repeated.push_back(&entry);
    }
    std::sort(least_repeated.begin(), least_repeated.end(),
              [](const pending_rumour* left, const pending_rumour* right) {
                  return left->repetitions > right->repetitions;
              });
    least_repeated.resize(std::min(least_repeated.size(), this->options.rumours_per_message));
    for (pending_rumour* entry : least_repeated) {
        next.rumours.push_back(entry->content);
        --entry->repetitions;
    }
    std::erase_if(this->pending_rumours, [](const auto& entry) { return entry.second.repetitions <= 0; });
    return next;
}

std::vector<peer_endpoint> membership_tracker::targets(core::steady_time now)
{
    const std::lock_guard lock(this->mutex);
    const peer_view current = build_view(this->inputs(), now);
    const std::vector<const peer_record*> ring =
        in_ring_order(current, this->options.self.endpoint.identity.id);
    std::vector<peer_endpoint> endpoints;
    if (ring.empty()) {
        endpoints = this->options.seeds;
    }
    const std::size_t neighbours = std::min(this->options.ring_neighbours, ring.size());
    for (std::size_t index = 0; index < neighbours; ++index) {
        endpoints.push_back(ring[index]->facts.endpoint);
    }
    for (std::size_t count = 0; count < this->options.random_peers && ring.size() > neighbours; ++count) {
        endpoints.push_back(ring[neighbours + this->random() % (ring.size() - neighbours)]->facts.endpoint);
    }
    ++this->intervals;
    if (this->intervals % gone_probe_period_intervals == 0) {
        std::vector<peer_endpoint> gone;
        for (const auto& [id, record] : current) {
            if (record.state == peer_state::gone) {
                gone.push_back(record.facts.endpoint);
            }
        }
        if (!gone.empty()) {
            endpoints.push_back(gone[this->random() % gone.size()]);
        }
    }
    return endpoints;
}

peer_view membership_tracker::view(core::steady_time now) const
{
    const std::lock_guard lock(this->mutex);
    return build_view(this->inputs(), now);
}

std::vector<rumour> membership_tracker::known_peers(core::steady_time now) const
{
    std::vector<rumour> peers{rumour{.subject = this->options.self, .state = peer_state::live}};
    for (const auto& [id, record] : this->view(now)) {
        if (record.state != peer_state::gone && record.state != peer_state::joining) {
            peers.push_back({.subject = record.facts, .state = record.state, .revision = record.revision});
        }
    }
    return peers;
}

void membership_tracker::start_leaving()
{
    const std::lock_guard lock(this->mutex);
    this->is_leaving = true;
    ++this->revision;
}

void membership_tracker::remove_gone(core::steady_time now)
{
    std::erase_if(this->evidence, [now](const auto& entry) {
        const auto& since = entry.second.suspected_since;
        return since && now - *since >= gone_retention;
    });
}

} // namespace samphireway::membership
