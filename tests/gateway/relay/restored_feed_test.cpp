#include "gateway/relay/relay_hub.h"
#include "gateway/relay/relay_subscription.h"

#include <criterion/criterion.h>

namespace {

using namespace samphireway;
using namespace std::chrono_literals;
using gateway::feed_kind;
using gateway::followed_batch;
using platform::store_position;

constexpr core::steady_time start{1h};
/** Of the store after it was restored. */
constexpr store_position restored{.generation = 2, .revision = 40};

followed_batch listing(store_position position, const std::vector<std::string>& keys)
{
    followed_batch result{
        .batch = {.revision = position.revision, .changed = {}, .generation = position.generation},
        .is_full_list = true};
    for (const std::string& key : keys) {
        result.batch.changed.push_back({.key = key, .version = 1, .value = Json::Value(Json::objectValue)});
    }
    return result;
}

followed_batch changes(platform::object_version after, store_position position)
{
    followed_batch result = listing(position, {"changed"});
    result.is_full_list = false;
    result.after = after;
    return result;
}

/** A relay whose store was restored: of generation 2, revision 40, after generation 1, revision 100. */
struct restored_relay {
    restored_relay()
    {
        for (const feed_kind kind : gateway::all_feeds) {
            this->feeds[kind].accept(listing({.generation = 1, .revision = 100}, {"old"}));
            this->feeds[kind].accept(listing(restored, {"new"}));
            this->feeds[kind].record_contact({.answered_at = start, .connected_since = start});
        }
    }

    gateway::per_feed<gateway::object_feed> feeds;
    gateway::contact_book contacts;
    gateway::relay_hub hub{this->feeds, this->contacts};
};

gateway::relay_poll poll_of(store_position known, bool names_generations = true)
{
    gateway::relay_poll result{.wait = 400ms, .names_generations = names_generations};
    for (const feed_kind kind : gateway::all_feeds) {
        result.known[kind] = known;
    }
    return result;
}

/** A node that follows one relay, which answers what the test says. */
struct subscribed_node {
    explicit subscribed_node(store_position known)
    {
        for (const feed_kind kind : gateway::all_feeds) {
            this->feeds[kind].accept(listing(known, {"known"}));
        }
        this->subscription.set_candidates({{.id = "relay", .token = "t"}});
    }

    void follow(const gateway::relay_reply& next)
    {
        this->reply = next;
        this->subscription.tick(true);
    }

    gateway::relay_reply reply;
    bool is_answered = false;
    gateway::per_feed<gateway::object_feed> feeds;
    gateway::relay_subscription subscription{{
        .send =
            [this](const gateway::member&, const gateway::relay_poll&, core::steady_time,
                   const std::function<void(core::result<gateway::relay_reply>)>& on_reply) {
                if (!std::exchange(this->is_answered, true)) {
                    on_reply(this->reply);
                }
            },
        .make_poll =
            [this] {
                gateway::relay_poll poll;
                for (const feed_kind kind : gateway::all_feeds) {
                    poll.known[kind] = this->feeds[kind].position();
                }
                return poll;
            },
        .on_batch = [this](feed_kind kind, const followed_batch& batch) { this->feeds[kind].accept(batch); },
        .on_in_contact = [](const std::vector<std::string>&) {},
        .on_contact = [](feed_kind, const gateway::store_contact&) {},
        .time = {.steady =
                     [] {
                         return start;
                     }},
    }};
};

gateway::relay_reply reply_at(store_position position)
{
    gateway::relay_reply result;
    for (const feed_kind kind : gateway::all_feeds) {
        result.status[kind] = gateway::feed_status{.position = position, .age = 10ms, .connected = 1s};
        result.news[kind] = changes(50, position);
    }
    return result;
}

} // namespace

// Guards against a node that is deaf after a return of the store, until the revisions have passed the old
// ones.
Test(restored_feed, list_of_a_higher_generation_is_newer)
{
    gateway::object_feed feed;
    cr_assert(feed.accept(listing({.generation = 1, .revision = 100}, {"a", "b"})));
    cr_assert(feed.accept(listing(restored, {"a"})));
    cr_assert(*feed.position() == restored);
    cr_assert(feed.accept(changes(40, {.generation = 2, .revision = 41})));
}

// Guards against objects from before the restore, and against changes whose gap cannot be seen, since their
// revision exists in both generations.
Test(restored_feed, batches_of_other_generations_are_not_joined)
{
    gateway::object_feed feed;
    feed.accept(listing(restored, {"a"}));
    cr_assert_not(feed.accept(listing({.generation = 1, .revision = 100}, {})));
    cr_assert_not(feed.accept(changes(40, {.generation = 1, .revision = 120})));
    cr_assert_not(feed.accept(changes(30, {.generation = 3, .revision = 41})));
    cr_assert(*feed.position() == restored);
}

// Guards against a node behind a relay that never hears of the restore.
Test(restored_feed, node_of_an_earlier_generation_is_sent_all_objects)
{
    restored_relay relay;
    std::string news;
    cr_assert(relay.hub.poll(poll_of({.generation = 1, .revision = 100}), start,
                             [&news](const gateway::encoded_reply& reply) { news = reply.news; }));
    const auto status = gateway::make_relay_status({}, {});
    const auto reply = gateway::parse_relay_reply(status, news);
    cr_assert(reply && reply->news[feed_kind::upstreams]);
    cr_assert(reply->news[feed_kind::upstreams]->is_full_list);
    cr_assert_eq(reply->news[feed_kind::upstreams]->batch.generation, 2U);
    cr_assert_eq(reply->news[feed_kind::upstreams]->batch.changed.size(), 1U);
}

// Guards against polls without a pause by nodes of an earlier version, which drop lists of lower revisions.
Test(restored_feed, node_that_names_no_generation_waits_for_changes)
{
    restored_relay relay;
    bool is_answered = false;
    cr_assert(relay.hub.poll(poll_of({.revision = 100}, false), start,
                             [&is_answered](const gateway::encoded_reply&) { is_answered = true; }));
    cr_assert_not(is_answered);
    cr_assert_eq(relay.hub.waiting(), 1U);
}

// Guards against a relay of an earlier version, or one that has not heard of the restore, that makes a node
// take revisions of another generation for its own.
Test(restored_feed, relay_of_an_earlier_generation_is_not_followed)
{
    for (const std::uint64_t generation : {0U, 1U}) {
        subscribed_node node(restored);
        node.follow(reply_at({.generation = generation, .revision = 100}));
        cr_expect_not(node.subscription.is_current());
        cr_expect(*node.feeds[feed_kind::upstreams].position() == restored);
    }
}

// Guards against a fleet whose store names no generation and whose nodes follow no relay any more.
Test(restored_feed, relay_is_followed_where_the_store_names_no_generation)
{
    subscribed_node node({.revision = 60});
    node.follow(reply_at({.revision = 100}));
    cr_assert(node.subscription.is_current());
    cr_assert_eq(node.feeds[feed_kind::upstreams].position()->revision, 100U);
}

// Guards against messages between builds that one of them cannot read during an upgrade.
Test(restored_feed, messages_without_generations_are_read)
{
    const auto poll =
        gateway::parse_relay_poll(R"({"wait_ms": 400, "node": "n", "known": {"upstreams": 7}})");
    cr_assert(poll.has_value());
    cr_assert_not(poll->names_generations);
    cr_assert_eq(poll->known[feed_kind::upstreams]->revision, 7U);
    const auto reply =
        gateway::parse_relay_reply(R"({"upstreams": {"revision": 12, "age_ms": 5, "connected_ms": 9}})", "");
    cr_assert(reply.has_value());
    cr_assert_eq(reply->status[feed_kind::upstreams]->position.revision, 12U);
}
