#include "gateway/relay/relay_hub.h"
#include "gateway/relay/relay_subscription.h"

#include <criterion/criterion.h>
#include <random>

namespace {

using namespace samphireway;
using namespace std::chrono_literals;
using gateway::feed_kind;
using gateway::followed_batch;
using gateway::member;
using gateway::per_feed;
using gateway::relay_poll;
using gateway::relay_reply;

constexpr core::steady_time start{1h};

/** Events in the order of their time on a clock that only they advance. */
class simulated_time {
public:
    core::steady_time now() const
    {
        return this->current;
    }

    void at(core::steady_time time, std::function<void()> event)
    {
        this->events.emplace(time, std::move(event));
    }

    void run_until(core::steady_time end)
    {
        while (!this->events.empty() && this->events.begin()->first <= end) {
            auto next = this->events.extract(this->events.begin());
            this->current = std::max(this->current, next.key());
            next.mapped()();
        }
        this->current = end;
    }

private:
    core::steady_time current = start;
    std::multimap<core::steady_time, std::function<void()>> events;
};

/** A relay that follows a store of one counter, kept in the object `k` of each kind. */
struct fake_relay {
    per_feed<gateway::object_feed> feeds;
    gateway::contact_book contacts;
    gateway::relay_hub hub{this->feeds, this->contacts};
    bool is_reachable = true;
    bool hears_store = true;
};

/** A store, some relays that hear of each change at once, and one subscribed node. */
class small_fleet {
public:
    explicit small_fleet(std::size_t relay_count, unsigned seed = 1) : random(seed)
    {
        std::vector<member> candidates;
        for (std::size_t index = 0; index < relay_count; ++index) {
            this->relays.push_back(std::make_unique<fake_relay>());
            candidates.push_back({.id = std::to_string(index), .token = "t" + std::to_string(index)});
        }
        this->subscription.set_candidates(candidates);
        this->change();
        this->tick();
    }

    /** Changes the object in the store. Relays that hear the store have it at once. */
    void change()
    {
        ++this->revision;
        this->update_relays();
    }

    void update_relays()
    {
        for (const std::unique_ptr<fake_relay>& relay : this->relays) {
            if (!relay->hears_store) {
                continue;
            }
            for (const feed_kind kind : gateway::all_feeds) {
                relay->feeds[kind].accept(this->listing());
                relay->feeds[kind].record_contact(
                    {.answered_at = this->time.now(), .connected_since = start});
            }
            relay->hub.publish(this->time.now());
        }
    }

    followed_batch listing() const
    {
        Json::Value value(Json::objectValue);
        value["n"] = static_cast<Json::UInt64>(this->revision);
        return {.batch = {.revision = this->revision,
                          .changed = {{.key = "k", .version = this->revision, .value = value}}},
                .is_full_list = true};
    }

    void run_for(std::chrono::milliseconds length)
    {
        this->time.run_until(this->time.now() + length);
    }

    platform::object_version known() const
    {
        return this->feeds[feed_kind::configuration].position().value_or(platform::store_position{}).revision;
    }

    simulated_time time;
    platform::object_version revision = 0;
    std::vector<std::unique_ptr<fake_relay>> relays;
    double loss = 0;               ///< Share of polls and replies that are lost.
    bool may_accept_lower = false; ///< Deliberate fault: lets the node take over older objects.
    int polls = 0;
    std::mt19937 random;
    per_feed<gateway::object_feed> feeds; ///< Of the node.
    gateway::relay_subscription subscription{{
        .send =
            [this](const member& relay, const relay_poll& poll, core::steady_time deadline,
                   std::function<void(core::result<relay_reply>)> on_reply) {
                this->send(relay, poll, deadline, std::move(on_reply));
            },
        .make_poll =
            [this] {
                relay_poll poll;
                for (const feed_kind kind : gateway::all_feeds) {
                    if (this->may_accept_lower) {
                        break;
                    }
                    poll.known[kind] = this->feeds[kind].position();
                }
                return poll;
            },
        .on_batch =
            [this](feed_kind kind, const followed_batch& batch) {
                if (this->may_accept_lower) {
                    this->feeds[kind] = {};
                }
                this->feeds[kind].accept(batch);
            },
        .on_in_contact = [](const std::vector<std::string>&) {},
        .on_contact = [](feed_kind, const gateway::store_contact&) {},
        .time = {.steady =
                     [this] {
                         return this->time.now();
                     }},
    }};

private:
    bool is_lost()
    {
        return std::uniform_real_distribution<double>(0, 1)(this->random) < this->loss;
    }

    void tick()
    {
        this->update_relays();
        for (const std::unique_ptr<fake_relay>& relay : this->relays) {
            relay->hub.expire(this->time.now());
        }
        this->subscription.tick(true);
        this->time.at(this->time.now() + 100ms, [this] { this->tick(); });
    }

    void send(const member& relay, const relay_poll& poll, core::steady_time deadline,
              std::function<void(core::result<relay_reply>)> on_reply)
    {
        ++this->polls;
        auto is_ended = std::make_shared<bool>(false);
        const auto end = [is_ended,
                          on_reply = std::move(on_reply)](const core::result<relay_reply>& outcome) {
            if (!std::exchange(*is_ended, true)) {
                on_reply(outcome);
            }
        };
        this->time.at(deadline,
                      [end] { end(core::failure(core::error_code::upstream_timeout, "no answer in time")); });
        fake_relay& asked = *this->relays[std::stoul(relay.id)];
        this->time.at(this->time.now() + 2ms, [this, end, poll, &asked] {
            if (!asked.is_reachable || this->is_lost()) {
                return;
            }
            (void)asked.hub.poll(poll, this->time.now(),
                                 [this, end, &asked](const gateway::encoded_reply& reply) {
                                     const auto parsed = gateway::parse_relay_reply(reply.status, reply.news);
                                     this->time.at(this->time.now() + 2ms, [this, end, parsed, &asked] {
                                         if (asked.is_reachable && !this->is_lost()) {
                                             end(parsed);
                                         }
                                     });
                                 });
        });
    }
};

} // namespace

// Guards against news that wait for the next poll, and against polls that spin while nothing is new.
Test(relay_subscription, change_arrives_at_once_and_idle_polls_are_few)
{
    small_fleet fleet(2);
    fleet.run_for(1s);
    cr_assert(fleet.subscription.is_current());
    fleet.change();
    fleet.run_for(10ms);
    cr_assert_eq(fleet.known(), fleet.revision);
    const int before = fleet.polls;
    fleet.run_for(10s);
    // One poll for each wait of 400 ms, and the ones that the start of the span cuts.
    cr_assert_leq(fleet.polls - before, 27);
}

// Guards against a node that follows a relay which is silent: it must know a change within two seconds, half
// of the time in which a configuration must be in force in a large fleet.
Test(relay_subscription, silent_relay_is_left_for_the_next)
{
    small_fleet fleet(3);
    fleet.run_for(1s);
    fleet.relays[0]->is_reachable = false;
    fleet.relays[1]->is_reachable = false;
    fleet.change();
    fleet.run_for(2s);
    cr_assert_eq(fleet.known(), fleet.revision);
    cr_assert_eq(fleet.subscription.source(), "2");
}

// Guards against a node that follows a relay which answers but is cut off from the object API.
Test(relay_subscription, relay_that_is_not_current_is_left_for_the_next)
{
    small_fleet fleet(2);
    fleet.run_for(1s);
    fleet.relays[0]->hears_store = false;
    fleet.change();
    // The relay's age is seen to exceed the maximum with the next poll.
    fleet.run_for(2100ms);
    cr_assert_eq(fleet.known(), fleet.revision);
    cr_assert_eq(fleet.subscription.source(), "1");
    fleet.relays[0]->hears_store = true;
    fleet.run_for(5s);
    cr_assert_eq(fleet.subscription.source(), "0", "the better relay is preferred again");
}

// Guards against a node that believes itself current although nobody hears the object API: it must notice
// within the maximum age, so that it asks the object API itself.
Test(relay_subscription, node_without_a_current_relay_knows_it)
{
    small_fleet fleet(3);
    fleet.run_for(1s);
    for (const auto& relay : fleet.relays) {
        relay->hears_store = false;
    }
    fleet.run_for(1700ms);
    cr_assert_not(fleet.subscription.is_current());
    for (const auto& relay : fleet.relays) {
        relay->hears_store = true;
    }
    fleet.change();
    fleet.run_for(1600ms);
    cr_assert(fleet.subscription.is_current());
    cr_assert_eq(fleet.known(), fleet.revision);
}

namespace {

/** Plays random losses, cuts and silent relays. Returns whether the node's revision ever fell, and whether it
 * was ever behind while its subscription claimed to be current for longer than allowed. */
struct exploration {
    bool has_fallen = false;
    bool was_behind = false;
};

exploration explore(unsigned seed, bool may_accept_lower)
{
    constexpr auto allowed_lag = 1700ms; // The maximum age of a relay and one tick.
    small_fleet fleet(4, seed);
    fleet.loss = 0.05;
    fleet.may_accept_lower = may_accept_lower;
    std::mt19937 random(seed);
    exploration result;
    std::map<platform::object_version, core::steady_time> changed_at;
    platform::object_version last_known = 0;
    for (int step = 0; step < 300; ++step) {
        fake_relay& relay = *fleet.relays[random() % fleet.relays.size()];
        switch (random() % 4) {
        case 0:
            relay.is_reachable = !relay.is_reachable;
            break;
        case 1:
            relay.hears_store = !relay.hears_store;
            break;
        default:
            fleet.change();
            changed_at[fleet.revision] = fleet.time.now();
        }
        fleet.run_for(std::chrono::milliseconds(random() % 400));
        result.has_fallen = result.has_fallen || fleet.known() < last_known;
        last_known = fleet.known();
        const auto missed = changed_at.upper_bound(last_known);
        const bool is_late = missed != changed_at.end() && fleet.time.now() - missed->second > allowed_lag;
        result.was_behind = result.was_behind || (is_late && fleet.subscription.is_current());
    }
    return result;
}

} // namespace

// Guards against a revision that falls, and against a node that is behind without knowing it, under seeded
// random losses, cuts and silences of all relays.
Test(relay_subscription, random_faults_never_lower_the_revision)
{
    for (unsigned seed = 1; seed <= 40; ++seed) {
        const exploration played = explore(seed, false);
        cr_assert_not(played.has_fallen, "seed %u", seed);
        cr_assert_not(played.was_behind, "seed %u", seed);
    }
}

// Shows that the exploration notices a node that accepts older objects.
Test(relay_subscription, exploration_notices_a_lower_revision)
{
    bool is_noticed = false;
    for (unsigned seed = 1; seed <= 10; ++seed) {
        is_noticed = is_noticed || explore(seed, true).has_fallen;
    }
    cr_assert(is_noticed);
}
