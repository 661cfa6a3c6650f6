#include "gateway/control/fleet_view.h"

#include "gateway/quarantine/crash_report.h"

#include <algorithm>

namespace samphireway::gateway {

namespace {

using std::chrono::milliseconds;

// Nodes join and leave rarely, and a late entry only costs a loan.
constexpr milliseconds member_watch_wait{10000};
// A service's upstreams start and leave in groups, and each change wakes every node, so changes are
// batched. The interval is half of the two seconds after which a leaving upstream must get no more requests.
constexpr milliseconds upstream_interval{1000};
// Configurations may arrive in quick succession. The interval is a quarter of the two seconds within which
// a configuration must be in force.
constexpr milliseconds configuration_interval{500};
// The nodes of a large fleet start together, and reading each change separately would cost every node a
// call per change.
constexpr milliseconds member_interval{2000};
// Few relays watch, so they may wake more often for changes that many nodes wait for.
constexpr milliseconds relay_interval{250};
// The answers to the watch of the configuration prove a relay's contact, so together with its nodes' polls
// they must be more frequent than `maximum_age`.
constexpr milliseconds relay_watch_wait{800};
// Bounds how late a relay notices that the watch of the upstreams alone has gone silent.
constexpr milliseconds relay_upstream_watch_wait{3000};
constexpr milliseconds maximum_retry_delay{800};
// A node whose relays are not current mostly shares their outage of the object API.
constexpr milliseconds maximum_retry_delay_behind_relays{3200};

milliseconds interval_of(feed_kind kind)
{
    switch (kind) {
    case feed_kind::configuration:
        return configuration_interval;
    case feed_kind::upstreams:
        return upstream_interval;
    case feed_kind::rollouts:
    case feed_kind::crashes:
        return milliseconds(0);
    case feed_kind::members:
        break;
    }
    return member_interval;
}

} // namespace

fleet_view::fleet_view(fleet_view_options options_to_use)
    : options(std::move(options_to_use)),
      configurations(this->options.configuration_key, this->options.read_configuration),
      upstreams(this->options.read_upstream), members(this->options.maximum_ledger_writers),
      rollouts(this->options.read_rollout), subscription(this->make_subscription_options())
{
    const std::string& key = this->options.configuration_key;
    this->make_follower(feed_kind::configuration, key.substr(0, key.find('/') + 1));
    this->make_follower(feed_kind::upstreams, this->options.upstreams_prefix);
    this->make_follower(feed_kind::members, members_prefix);
    this->make_follower(feed_kind::rollouts, this->options.rollouts_prefix);
    this->make_follower(feed_kind::crashes, crashes_prefix);
}

void fleet_view::start()
{
    for (const feed_kind kind : all_feeds) {
        this->sources[kind].follower->start();
    }
}

void fleet_view::stop()
{
    for (const feed_kind kind : all_feeds) {
        this->sources[kind].follower->stop();
    }
}

void fleet_view::tick()
{
    const core::steady_time now = this->options.time.steady();
    this->choose_sources();
    this->update_connection();
    if (this->is_connected() && this->upstreams.expire(now)) {
        this->options.board.upstreams.publish(this->upstreams.table());
    }
    this->relay.expire(now);
}

relay_subscription_options fleet_view::make_subscription_options()
{
    relay_subscription_options result = this->options.subscription;
    result.make_poll = [this] {
        relay_poll poll{.node = this->options.relays.node, .is_in_contact = this->is_in_contact()};
        for (const feed_kind kind : all_feeds) {
            poll.known[kind] = this->feeds[kind].position();
        }
        return poll;
    };
    result.on_in_contact = [this](const std::vector<std::string>& nodes) {
        for (const std::string& node : nodes) {
            this->contacts.record(node, this->options.time.steady());
        }
    };
    result.on_contact = [this](feed_kind kind, const store_contact& contact) {
        this->store_contacts.record_contact({.from = contact.connected_since, .until = contact.answered_at});
        this->feeds[kind].record_contact(
            {.answered_at = contact.answered_at, .connected_since = *this->store_contacts.connected_since()});
    };
    result.on_batch = [this](feed_kind kind, followed_batch batch) {
        batch.connected_since = this->store_contacts.connected_since();
        this->accept(kind, batch);
    };
    result.time = this->options.time;
    return result;
}

void fleet_view::make_follower(feed_kind kind, const std::string& prefix)
{
    this->sources[kind].follower = std::make_unique<object_follower>(follower_options{
        .store = this->options.store,
        .prefix = prefix,
        .known_position =
            [this, kind] {
                source_state& source = this->sources[kind];
                const std::lock_guard lock(source.mutex);
                return source.known_position;
            },
        .holds_partial_list =
            [this, kind] {
                source_state& source = this->sources[kind];
                const std::lock_guard lock(source.mutex);
                return source.holds_partial_list;
            },
        .pace = [this, kind] { return this->pace_of(kind); },
        .on_batch =
            [this, kind](followed_batch received) {
                this->options.run_control([this, kind, received = std::move(received)]() mutable {
                    this->on_store_batch(kind, std::move(received));
                });
            },
        .on_cut =
            [this, kind](core::steady_time from, core::steady_time until) {
                this->options.run_control([this, kind, from, until] { this->on_cut(kind, from, until); });
            },
        .on_failure =
            [this, kind](const core::error& failure) {
                this->options.run_control([this, kind, failure] { this->on_store_failure(kind, failure); });
            },
    });
}

follower_pace fleet_view::pace_of(feed_kind kind) const
{
    if (kind == feed_kind::members) {
        return {.watch_wait = member_watch_wait,
                .minimum_interval = member_interval,
                .maximum_retry_delay = maximum_retry_delay};
    }
    if (!this->is_in_large_fleet) {
        return {.watch_wait = this->options.watch_wait,
                .minimum_interval = interval_of(kind),
                .maximum_retry_delay = maximum_retry_delay};
    }
    return {.watch_wait = kind == feed_kind::configuration ? relay_watch_wait : relay_upstream_watch_wait,
            .minimum_interval = relay_interval,
            .maximum_retry_delay = this->is_relay ? maximum_retry_delay : maximum_retry_delay_behind_relays};
}

void fleet_view::on_store_batch(feed_kind kind, followed_batch received)
{
    const core::steady_time now = this->options.time.steady();
    source_state& source = this->sources[kind];
    this->store_contacts.record_call({.from = received.asked_at, .until = now});
    source.is_answered = true;
    if (source.is_lost) {
        source.is_lost = false;
        core::log_event(core::log_level::info, "object_api_regained", {{"kind", to_string(kind)}});
    }
    received.connected_since = this->store_contacts.connected_since();
    this->accept(kind, received);
    this->feeds[kind].record_contact({.answered_at = now, .connected_since = *received.connected_since});
}

void fleet_view::on_cut(feed_kind kind, core::steady_time from, core::steady_time until)
{
    core::log_event(core::log_level::info, "watch_cut_off", {{"kind", to_string(kind)}});
    this->store_contacts.record_call({.from = from, .until = until});
}

void fleet_view::on_store_failure(feed_kind kind, const core::error& failure)
{
    if (failure.code == core::error_code::history_gone) {
        core::log_event(core::log_level::info, "history_gone", {{"kind", to_string(kind)}});
        return; // An answer: the object API is in reach.
    }
    this->store_contacts.record_failure();
    source_state& source = this->sources[kind];
    if (!source.is_lost) {
        core::log_event(core::log_level::warning, "object_api_lost",
                        {{"kind", to_string(kind)},
                         {"code", core::to_string(failure.code)},
                         {"reason", failure.message}});
    }
    source.is_lost = true;
}

void fleet_view::accept(feed_kind kind, const followed_batch& received)
{
    this->options.on_generation(received.batch.generation);
    const std::optional<platform::store_position> before = this->feeds[kind].position();
    if (!this->feeds[kind].accept(received)) {
        this->log_ignored(kind, received);
        return;
    }
    {
        source_state& source = this->sources[kind];
        const std::lock_guard lock(source.mutex);
        source.known_position = this->feeds[kind].position();
        source.holds_partial_list = this->feeds[kind].is_partial();
    }
    if (!received.batch.changed.empty() || received.is_full_list || received.is_partial_list) {
        if (before && before->generation != received.batch.generation) {
            this->apply_restored(kind, *before, received);
        }
        else {
            this->apply(kind, received);
        }
        this->relay.publish(this->options.time.steady());
    }
}

void fleet_view::log_ignored(feed_kind kind, const followed_batch& received) const
{
    const platform::store_position held = this->feeds[kind].position().value_or(platform::store_position{});
    if (!received.is_full_list || held <= received.batch.position()) {
        return; // Late and repeated changes are usual.
    }
    core::log_event(core::log_level::warning, "list_ignored",
                    {{"kind", to_string(kind)},
                     {"source", received.source},
                     {"generation", static_cast<long long>(received.batch.generation)},
                     {"revision", static_cast<long long>(received.batch.revision)},
                     {"held_generation", static_cast<long long>(held.generation)},
                     {"held", static_cast<long long>(held.revision)}});
}

void fleet_view::apply_restored(feed_kind kind, const platform::store_position& before,
                                followed_batch received)
{
    core::log_event(core::log_level::warning, "object_api_restored",
                    {{"kind", to_string(kind)},
                     {"source", received.source},
                     {"generation", static_cast<long long>(received.batch.generation)},
                     {"revision", static_cast<long long>(received.batch.revision)},
                     {"before_generation", static_cast<long long>(before.generation)},
                     {"before", static_cast<long long>(before.revision)}});
    received.is_after_restore = true;
    this->apply(kind, received);
    if (kind == feed_kind::members) {
        this->options.on_restore(received);
    }
}

void fleet_view::apply(feed_kind kind, const followed_batch& received)
{
    switch (kind) {
    case feed_kind::configuration: {
        const std::shared_ptr<const route_table> next = this->configurations.apply(received);
        if (next != nullptr) {
            this->options.board.routes.publish(next);
            this->options.on_configuration(next->source());
        }
        return;
    }
    case feed_kind::upstreams: {
        const bool has_changed = this->upstreams.apply(received, this->options.time.steady());
        if (has_changed || this->options.board.upstreams.read() == nullptr) {
            this->options.board.upstreams.publish(this->upstreams.table());
        }
        return;
    }
    case feed_kind::rollouts:
        this->options.board.rollouts.publish(this->rollouts.apply(received, this->options.time.steady()));
        return;
    case feed_kind::crashes:
        this->options.on_crashes(received);
        return;
    case feed_kind::members:
        break;
    }
    const std::shared_ptr<const member_list> list = this->members.apply(received);
    this->options.board.members.publish(list);
    this->order = order_relays(list.get(), this->options.relays);
    this->is_relay = this->order.is_relay;
    this->is_in_large_fleet = list->members.size() >= this->options.relays.minimum_nodes;
    this->set_candidates();
}

void fleet_view::set_candidates()
{
    std::vector<member> candidates = this->order.candidates;
    const std::shared_ptr<const member_list> list = this->options.board.members.read();
    for (const std::string& id : this->published_contacts) {
        const bool is_candidate = id == this->options.relays.node ||
                                  std::any_of(candidates.begin(), candidates.end(),
                                              [&id](const member& known) { return known.id == id; });
        const auto found = std::find_if(list->members.begin(), list->members.end(),
                                        [&id](const member& node) { return node.id == id; });
        if (!is_candidate && found != list->members.end()) {
            candidates.push_back(*found);
        }
    }
    this->subscription.set_candidates(std::move(candidates));
}

void fleet_view::choose_sources()
{
    const bool has_own_contact =
        !this->sources[feed_kind::configuration].is_lost && !this->sources[feed_kind::upstreams].is_lost;
    this->subscription.tick(!this->is_relay || !has_own_contact);
    const bool must_watch = this->is_relay || !this->subscription.is_current();
    for (const feed_kind kind : all_feeds) {
        // While the object API does not answer, one kind of call is enough to notice its return.
        const bool is_first = kind == feed_kind::configuration;
        const bool is_reachable = !this->sources[feed_kind::configuration].is_lost;
        const bool must_watch_kind = must_watch || this->feeds[kind].is_partial();
        this->sources[kind].follower->set_active(must_watch_kind && (is_first || is_reachable));
    }
}

void fleet_view::update_connection()
{
    const bool is_now_connected = this->is_connected();
    const std::optional<core::steady_time>& since = this->store_contacts.connected_since();
    if (this->was_connected && !is_now_connected) {
        this->upstreams.set_disconnected(this->options.time.steady());
    }
    else if (is_now_connected && since) {
        this->upstreams.set_connected(*since);
    }
    this->was_connected = is_now_connected;
    const core::steady_time now = this->options.time.steady();
    if (this->is_in_contact()) {
        this->contacts.record(this->options.relays.node, now);
    }
    std::vector<std::string> in_contact = this->contacts.read(now);
    if (in_contact != this->published_contacts && this->options.board.members.read() != nullptr) {
        this->published_contacts = in_contact;
        this->options.board.in_contact.publish(
            std::make_shared<const std::vector<std::string>>(std::move(in_contact)));
        this->set_candidates();
    }
}

bool fleet_view::is_in_contact() const
{
    const source_state& source = this->sources[feed_kind::configuration];
    const bool watches = this->is_relay || !this->subscription.is_current();
    return watches && !source.is_lost && source.is_answered;
}

bool fleet_view::is_connected() const
{
    const bool follows_relay = !this->is_relay && this->subscription.is_current();
    return follows_relay || !this->sources[feed_kind::upstreams].is_lost;
}

} // namespace samphireway::gateway
