#include "gateway/relay/object_feed.h"

#include <criterion/criterion.h>

namespace {

using namespace samphireway;
using gateway::followed_batch;
using gateway::object_feed;

platform::object stored(const std::string& key, platform::object_version version)
{
    Json::Value value(Json::objectValue);
    value["written"] = static_cast<Json::UInt64>(version);
    return {.key = key, .version = version, .value = value};
}

platform::object removed(const std::string& key, platform::object_version version)
{
    return {.key = key, .version = version, .value = {}};
}

followed_batch listing(platform::object_version revision, std::vector<platform::object> objects)
{
    return {.batch = {.revision = revision, .changed = std::move(objects)}, .is_full_list = true};
}

std::optional<platform::store_position> at(platform::object_version revision)
{
    return platform::store_position{.revision = revision};
}

followed_batch changes(platform::object_version after, platform::object_version revision,
                       std::vector<platform::object> objects)
{
    return {.batch = {.revision = revision, .changed = std::move(objects)}, .after = after};
}

} // namespace

// Guards against a node that goes back to older objects when a late answer, a lagging relay or a restarted
// source sends them.
Test(object_feed, revision_never_falls)
{
    object_feed feed;
    cr_assert(feed.accept(listing(10, {stored("a", 9)})));
    cr_assert_not(feed.accept(listing(8, {})));
    cr_assert_not(feed.accept(changes(4, 7, {removed("a", 7)})));
    cr_assert_not(feed.accept(listing(10, {})));
    cr_assert_eq(feed.position()->revision, 10U);
    cr_assert_eq(feed.changes_since(std::nullopt)->batch.changed.size(), 1U);
}

// Guards against changes that are lost because a batch starts after the revision that the node knows.
Test(object_feed, batch_that_leaves_a_gap_is_ignored)
{
    object_feed feed;
    cr_assert_not(feed.accept(changes(0, 5, {stored("a", 5)})));
    feed.accept(listing(10, {}));
    cr_assert_not(feed.accept(changes(12, 15, {stored("a", 15)})));
    cr_assert(feed.accept(changes(8, 15, {stored("a", 9), stored("b", 15)})));
    cr_assert_eq(feed.position()->revision, 15U);
}

// Guards against removals that do not reach a node which has its objects from a relay.
Test(object_feed, changes_contain_updates_and_removals_since_a_revision)
{
    object_feed feed;
    feed.accept(listing(10, {stored("a", 3), stored("b", 9)}));
    feed.accept(changes(10, 12, {removed("a", 12)}));
    feed.accept(changes(12, 14, {stored("c", 14)}));
    const std::optional<followed_batch> news = feed.changes_since(at(11));
    cr_assert(news && !news->is_full_list);
    cr_assert_eq(news->batch.revision, 14U);
    cr_assert_eq(news->batch.changed.size(), 2U);
    cr_assert_eq(news->batch.changed[0].key, "a");
    cr_assert(news->batch.changed[0].value.isNull());
    cr_assert_eq(news->batch.changed[1].key, "c");
    cr_assert_not(feed.changes_since(at(14)));
    cr_assert(feed.changes_since(at(9))->is_full_list, "removals before the listing are not known");
}

// Guards against a full answer to a node that already knows everything, which would make polls spin.
Test(object_feed, revisions_without_changes_are_no_news)
{
    object_feed feed;
    feed.accept(listing(10, {stored("a", 3)}));
    cr_assert(feed.accept(changes(10, 50, {})));
    cr_assert_eq(feed.position()->revision, 50U);
    cr_assert_not(feed.has_changed_since(at(10)));
    cr_assert_not(feed.changes_since(at(10)));
}

// Guards against memory that grows with every removal, and against a node that misses those no longer kept.
Test(object_feed, removals_are_bounded)
{
    object_feed feed;
    feed.accept(listing(1, {}));
    for (platform::object_version version = 2; version <= 1000; ++version) {
        feed.accept(changes(version - 1, version, {removed("k" + std::to_string(version), version)}));
    }
    cr_assert(feed.changes_since(at(100))->is_full_list);
    const std::optional<followed_batch> recent = feed.changes_since(at(900));
    cr_assert_not(recent->is_full_list);
    cr_assert_eq(recent->batch.changed.size(), 100U);
}

// Guards against objects that count as removed, at this node or at others, since a list was not read to its
// end.
Test(object_feed, partial_list_removes_nothing_and_is_not_passed_on)
{
    object_feed feed;
    cr_assert(feed.accept(listing(10, {stored("a", 9), stored("b", 10)})));
    followed_batch partial = listing(15, {stored("a", 12)});
    partial.is_full_list = false;
    partial.is_partial_list = true;
    cr_assert(feed.accept(partial));
    cr_expect(feed.is_partial());
    cr_expect_not(feed.changes_since(std::nullopt).has_value());
    cr_expect_not(feed.has_changed_since(std::nullopt));
    cr_assert(feed.accept(changes(15, 16, {stored("c", 16)})));
    cr_expect(feed.is_partial());
    // A list that ends is taken over even if nothing has changed since.
    cr_assert(feed.accept(listing(16, {stored("a", 12), stored("b", 10), stored("c", 16)})));
    cr_expect_not(feed.is_partial());
    cr_expect_eq(feed.changes_since(std::nullopt)->batch.changed.size(), 3U);
}
