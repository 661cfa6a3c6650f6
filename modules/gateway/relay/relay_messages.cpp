#include "gateway/relay/relay_messages.h"

#include "gateway/relay/compression.h"

namespace samphireway::gateway {

namespace {

using std::chrono::milliseconds;

// A configuration with tens of thousands of routes fits; a larger message is treated as malformed.
constexpr std::size_t maximum_news_bytes = 32U << 20U;
constexpr milliseconds maximum_wait{30000};
constexpr std::size_t maximum_in_contact = 8;
// Longer ages make no difference; the bound keeps them in range.
constexpr milliseconds maximum_age{std::chrono::hours(24)};

tl::unexpected<core::error> malformed(std::string message)
{
    return core::failure(core::error_code::invalid_argument, std::move(message));
}

const char* name_of(feed_kind kind)
{
    return to_string(kind).data();
}

std::optional<platform::object_version> read_revision(const Json::Value& value)
{
    return value.isUInt64() ? std::optional<platform::object_version>(value.asUInt64()) : std::nullopt;
}

/** Reads the generation of a revision. Nodes of earlier versions name none. */
std::uint64_t read_generation(const Json::Value& value)
{
    return value.isUInt64() ? value.asUInt64() : 0;
}

std::optional<milliseconds> read_time(const Json::Value& object, const char* name)
{
    const std::int64_t count = core::integer_member(object, name, -1);
    return count < 0 ? std::nullopt : std::optional<milliseconds>(std::min(milliseconds(count), maximum_age));
}

Json::Value to_json(const platform::object& changed)
{
    Json::Value json;
    json["key"] = changed.key;
    json["version"] = static_cast<Json::UInt64>(changed.version);
    json["value"] = changed.value;
    if (!changed.status.isNull()) {
        json["status"] = changed.status;
    }
    return json;
}

Json::Value to_json(const followed_batch& batch)
{
    Json::Value json;
    json["revision"] = static_cast<Json::UInt64>(batch.batch.revision);
    json["generation"] = static_cast<Json::UInt64>(batch.batch.generation);
    json["after"] = static_cast<Json::UInt64>(batch.after);
    json["full"] = batch.is_full_list;
    json["changed"] = Json::Value(Json::arrayValue);
    for (const platform::object& changed : batch.batch.changed) {
        json["changed"].append(to_json(changed));
    }
    return json;
}

core::result<followed_batch> batch_from_json(Json::Value& json)
{
    const std::optional<platform::object_version> revision = read_revision(json["revision"]);
    const std::optional<platform::object_version> after = read_revision(json["after"]);
    if (!revision || !after || !json["full"].isBool() || !json["changed"].isArray()) {
        return malformed("a batch of the relay lacks a revision or its changes");
    }
    followed_batch result{
        .batch = {.revision = *revision, .changed = {}, .generation = read_generation(json["generation"])},
        .is_full_list = json["full"].asBool(),
        .after = *after};
    for (Json::Value& entry : json["changed"]) {
        const std::string key = core::string_member(entry, "key");
        const std::optional<platform::object_version> version =
            entry.isObject() ? read_revision(entry["version"]) : std::nullopt;
        if (key.empty() || !version) {
            return malformed("an object of the relay lacks a key or a version");
        }
        platform::object changed{.key = key, .version = *version};
        changed.value.swap(entry["value"]);
        changed.status.swap(entry["status"]);
        result.batch.changed.push_back(std::move(changed));
    }
    return result;
}

core::result<relay_reply> parse_status(const std::string& text)
{
    const core::result<Json::Value> json = core::parse_json(text);
    if (!json || !json->isObject()) {
        return malformed("the status of the relay is not a JSON object");
    }
    relay_reply result;
    for (const Json::Value& node : (*json)["in_contact"]) {
        if (node.isString() && result.in_contact.size() < maximum_in_contact) {
            result.in_contact.push_back(node.asString());
        }
    }
    for (const feed_kind kind : all_feeds) {
        const Json::Value& entry = (*json)[name_of(kind)];
        if (entry.isNull()) {
            continue;
        }
        const std::optional<platform::object_version> revision =
            entry.isObject() ? read_revision(entry["revision"]) : std::nullopt;
        const std::optional<milliseconds> age = read_time(entry, "age_ms");
        const std::optional<milliseconds> connected = read_time(entry, "connected_ms");
        if (!revision || !age || !connected) {
            return malformed("the status of the relay lacks a revision or an age");
        }
        result.status[kind] = feed_status{
            .position = {.generation = read_generation(entry["generation"]), .revision = *revision},
            .age = *age,
            .connected = *connected};
    }
    return result;
}

core::result<per_feed<std::optional<followed_batch>>> parse_news(const std::string& body)
{
    per_feed<std::optional<followed_batch>> result;
    if (body.empty()) {
        return result;
    }
    const core::result<std::string> text = inflate_bytes(body, maximum_news_bytes);
    if (!text) {
        return tl::unexpected(text.error());
    }
    core::result<Json::Value> json = core::parse_json(*text);
    if (!json || !json->isObject()) {
        return malformed("the news of the relay are not a JSON object");
    }
    for (const feed_kind kind : all_feeds) {
        Json::Value& entry = (*json)[name_of(kind)];
        if (entry.isNull()) {
            continue;
        }
        if (!entry.isObject()) {
            return malformed("a batch of the relay is not a JSON object");
        }
        core::result<followed_batch> batch = batch_from_json(entry);
        if (!batch) {
            return tl::unexpected(batch.error());
        }
        result[kind] = std::move(*batch);
    }
    return result;
}

} // namespace

std::string_view to_string(feed_kind kind) noexcept
{
    switch (kind) {
    case feed_kind::configuration:
        return "configuration";
    case feed_kind::upstreams:
        return "upstreams";
    case feed_kind::members:
        return "members";
    case feed_kind::rollouts:
        return "rollouts";
    case feed_kind::crashes:
        break;
    }
    return "crashes";
}

std::string make_relay_poll(const relay_poll& poll)
{
    Json::Value body;
    body["wait_ms"] = static_cast<Json::Int64>(poll.wait.count());
    body["node"] = poll.node;
    body["in_contact"] = poll.is_in_contact;
    body["known"] = Json::Value(Json::objectValue);
    body["generations"] = Json::Value(Json::objectValue);
    for (const feed_kind kind : all_feeds) {
        if (poll.known[kind]) {
            body["known"][name_of(kind)] = static_cast<Json::UInt64>(poll.known[kind]->revision);
            body["generations"][name_of(kind)] = static_cast<Json::UInt64>(poll.known[kind]->generation);
        }
    }
    return core::write_json(body);
}

core::result<relay_poll> parse_relay_poll(const std::string& body)
{
    const core::result<Json::Value> json = core::parse_json(body);
    if (!json || !json->isObject() || !(*json)["known"].isObject()) {
        return malformed("the poll is not a JSON object with the known revisions");
    }
    const Json::Value& generations = (*json)["generations"];
    const std::optional<milliseconds> wait = read_time(*json, "wait_ms");
    if (!wait || *wait > maximum_wait) {
        return malformed("the wait of the poll is missing or out of range");
    }
    relay_poll poll{.known = {},
                    .wait = *wait,
                    .node = core::string_member(*json, "node"),
                    .is_in_contact = core::boolean_member(*json, "in_contact"),
                    .names_generations = generations.isObject()};
    for (const feed_kind kind : all_feeds) {
        const Json::Value& known = (*json)["known"][name_of(kind)];
        const std::optional<platform::object_version> revision = read_revision(known);
        if (!known.isNull() && !revision) {
            return malformed("a known revision of the poll is not a number");
        }
        if (revision) {
            poll.known[kind] = {.generation =
                                    poll.names_generations ? read_generation(generations[name_of(kind)]) : 0,
                                .revision = *revision};
        }
    }
    return poll;
}

std::string make_relay_status(const per_feed<std::optional<feed_status>>& status,
                              const std::vector<std::string>& in_contact)
{
    Json::Value json(Json::objectValue);
    for (const std::string& node : in_contact) {
        json["in_contact"].append(node);
    }
    for (const feed_kind kind : all_feeds) {
        if (status[kind]) {
            Json::Value& entry = json[name_of(kind)];
            entry["revision"] = static_cast<Json::UInt64>(status[kind]->position.revision);
            entry["generation"] = static_cast<Json::UInt64>(status[kind]->position.generation);
            entry["age_ms"] = static_cast<Json::Int64>(status[kind]->age.count());
            entry["connected_ms"] = static_cast<Json::Int64>(status[kind]->connected.count());
        }
    }
    return core::write_json(json);
}

std::string make_relay_news(const per_feed<std::optional<followed_batch>>& news)
{
    Json::Value json(Json::objectValue);
    for (const feed_kind kind : all_feeds) {
        if (news[kind]) {
            json[name_of(kind)] = to_json(*news[kind]);
        }
    }
    return json.empty() ? std::string() : deflate_bytes(core::write_json(json));
}

core::result<relay_reply> parse_relay_reply(const std::string& status, const std::string& body)
{
    core::result<relay_reply> reply = parse_status(status);
    if (!reply) {
        return reply;
    }
    core::result<per_feed<std::optional<followed_batch>>> news = parse_news(body);
    if (!news) {
        return tl::unexpected(news.error());
    }
    reply->news = std::move(*news);
    return reply;
}

} // namespace samphireway::gateway
