#include "gateway/relay/compression.h"
#include "gateway/relay/relay_messages.h"

#include <criterion/criterion.h>
#include <random>

namespace {

using namespace samphireway;
using namespace std::chrono_literals;
using gateway::feed_kind;

gateway::per_feed<std::optional<gateway::followed_batch>> sample_news()
{
    Json::Value value(Json::objectValue);
    value["routes"] = std::string(5000, 'r');
    gateway::per_feed<std::optional<gateway::followed_batch>> news;
    news[feed_kind::upstreams] =
        gateway::followed_batch{.batch = {.revision = 12,
                                          .changed = {{.key = "up/a", .version = 11, .value = value},
                                                      {.key = "up/b", .version = 12, .value = {}}},
                                          .generation = 3},
                                .after = 7};
    return news;
}

gateway::per_feed<std::optional<gateway::feed_status>> sample_status()
{
    gateway::per_feed<std::optional<gateway::feed_status>> status;
    status[feed_kind::upstreams] =
        gateway::feed_status{.position = {.generation = 3, .revision = 12}, .age = 40ms, .connected = 9s};
    return status;
}

} // namespace

// Guards against revisions, objects or removals that are lost or changed on the way between nodes.
Test(relay_messages, poll_and_reply_survive_the_wire)
{
    gateway::relay_poll poll{.known = {}, .wait = 700ms};
    poll.known[feed_kind::configuration] = {.generation = 2, .revision = 3};
    const auto read = gateway::parse_relay_poll(gateway::make_relay_poll(poll));
    cr_assert(read && read->known == poll.known && read->wait == poll.wait);

    const auto reply = gateway::parse_relay_reply(gateway::make_relay_status(sample_status(), {"n1"}),
                                                  gateway::make_relay_news(sample_news()));
    cr_assert(reply.has_value());
    cr_assert(reply->status == sample_status());
    cr_assert(reply->in_contact == std::vector<std::string>{"n1"});
    const gateway::followed_batch& batch = *reply->news[feed_kind::upstreams];
    cr_assert_eq(batch.batch.revision, 12U);
    cr_assert_eq(batch.batch.generation, 3U);
    cr_assert_eq(batch.after, 7U);
    cr_assert_not(batch.is_full_list);
    cr_assert_eq(batch.batch.changed[0].value["routes"].asString().size(), 5000U);
    cr_assert(batch.batch.changed[1].value.isNull());
    cr_assert_eq(batch.batch.changed[1].key, "up/b");
}

// Guards against a small compressed message that fills the memory of the node that reads it.
Test(relay_messages, decompression_is_bounded)
{
    const std::string compressed = gateway::deflate_bytes(std::string(4U << 20U, 'x'));
    cr_assert_lt(compressed.size(), std::size_t{100000});
    cr_assert(gateway::inflate_bytes(compressed, 4U << 20U).has_value() ||
              !gateway::inflate_bytes(compressed, 1U << 20U).has_value());
    cr_assert_not(gateway::inflate_bytes(compressed, 1U << 20U).has_value());
    cr_assert(gateway::inflate_bytes(compressed, 5U << 20U).has_value());
    cr_assert_not(gateway::inflate_bytes(compressed.substr(0, compressed.size() / 2), 5U << 20U).has_value());
}

// Guards against malformed messages of other nodes that end the process or are taken for valid ones.
Test(relay_messages, malformed_messages_are_refused)
{
    for (const char* const body : {"", "[]", "{}", R"({"known":[],"wait_ms":1})",
                                   R"({"known":{},"wait_ms":-1})", R"({"known":{"members":"x"},"wait_ms":1})",
                                   R"({"known":{}})", R"({"known":{},"wait_ms":99999999})"}) {
        cr_assert_not(gateway::parse_relay_poll(body).has_value(), "%s", body);
    }
    const std::string status = gateway::make_relay_status(sample_status(), {"n1"});
    for (const char* const body :
         {"x", "[]", R"({"upstreams":1})", R"({"upstreams":{"revision":1}})",
          R"({"upstreams":{"revision":1,"after":0,"full":true,"changed":[1]}})",
          R"({"upstreams":{"revision":1,"after":0,"full":true,"changed":[{"key":1}]}})"}) {
        cr_assert_not(gateway::parse_relay_reply(status, gateway::deflate_bytes(body)).has_value(), "%s",
                      body);
        cr_assert_not(gateway::parse_relay_reply(body, "").has_value(), "%s", body);
    }
}

// Guards against any damaged message that ends the process; run with sanitizers.
Test(relay_messages, damaged_messages_do_no_harm)
{
    const std::string status = gateway::make_relay_status(sample_status(), {"n1"});
    const std::string news = gateway::make_relay_news(sample_news());
    const std::string poll = gateway::make_relay_poll({.known = {}, .wait = 700ms});
    std::mt19937 random(20261204);
    const auto damage = [&random](std::string bytes) {
        const std::size_t count = 1 + random() % 4;
        for (std::size_t change = 0; change < count; ++change) {
            bytes[random() % bytes.size()] = static_cast<char>(random());
        }
        return random() % 4 == 0 ? bytes.substr(0, random() % bytes.size()) : bytes;
    };
    int parsed = 0;
    constexpr int rounds = 5000;
    for (int round = 0; round < rounds; ++round) {
        parsed += gateway::parse_relay_reply(damage(status), damage(news)).has_value() ? 1 : 0;
        parsed += gateway::parse_relay_poll(damage(poll)).has_value() ? 1 : 0;
    }
    cr_assert_lt(parsed, 2 * rounds);
}
