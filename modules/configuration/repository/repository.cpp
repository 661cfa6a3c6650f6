#include "configuration/repository/repository.h"

#include <charconv>
#include <optional>

namespace samphireway::configuration {

namespace {

std::shared_ptr<const snapshot> empty_snapshot(std::size_t list_shards)
{
    auto empty = std::make_shared<snapshot>();
    empty->plan_shards.assign(list_shards, std::make_shared<const plan_shard>());
    empty->access_shards.assign(list_shards, std::make_shared<const access_shard>());
    empty->upstreams = std::make_shared<const upstream_list>();
    return empty;
}

tl::unexpected<core::error> entry_error(const std::string& id, const core::error& cause)
{
    return core::failure(core::error_code::invalid_argument, "entry " + id + ": " + cause.message);
}

std::optional<std::size_t> shard_index(const std::string& key, const std::string& prefix, std::size_t shards)
{
    if (!key.starts_with(prefix)) {
        return std::nullopt;
    }
    std::size_t index = 0;
    const char* const end = key.data() + key.size();
    const auto [stopped, error] = std::from_chars(key.data() + prefix.size(), end, index);
    if (error != std::errc{} || stopped != end || index >= shards || key != prefix + std::to_string(index)) {
        return std::nullopt;
    }
    return index;
}

core::result<std::shared_ptr<const plan_shard>> read_plans(const Json::Value& value)
{
    std::map<std::string, plan> read;
    const Json::Value& plans = value["plans"];
    for (auto entry = plans.begin(); entry != plans.end(); ++entry) {
        core::result<plan> parsed = plan_from_json(entry.name(), *entry);
        if (!parsed) {
            return entry_error(entry.name(), parsed.error());
        }
        read.emplace(entry.name(), std::move(*parsed));
    }
    return std::make_shared<const plan_shard>(read);
}

core::result<std::shared_ptr<const access_shard>> read_access(const Json::Value& value)
{
    std::map<std::string, std::vector<access_entry>> read;
    const Json::Value& access = value["access"];
    for (auto entry = access.begin(); entry != access.end(); ++entry) {
        core::result<std::vector<access_entry>> parsed = access_from_json(*entry);
        if (!parsed) {
            return entry_error(entry.name(), parsed.error());
        }
        if (!is_valid_id(entry.name())) {
            return core::failure(core::error_code::invalid_argument,
                                 "entry " + entry.name() +
                                     ": expected an id of 1 to 64 letters, digits, - or _");
        }
        read.emplace(entry.name(), std::move(*parsed));
    }
    return std::make_shared<const access_shard>(read);
}

core::result<std::shared_ptr<const upstream_list>> read_upstreams(const Json::Value& value)
{
    auto list = std::make_shared<upstream_list>();
    const Json::Value& upstreams = value["upstreams"];
    for (auto entry = upstreams.begin(); entry != upstreams.end(); ++entry) {
        core::result<upstream> parsed = upstream_from_json(entry.name(), *entry);
        if (!parsed) {
            return entry_error(entry.name(), parsed.error());
        }
        list->upstreams.emplace(entry.name(), std::move(*parsed));
    }
    return std::shared_ptr<const upstream_list>(std::move(list));
}

/** Assigns a list that was parsed to its member of the snapshot, or returns the error of parsing. */
template<typename List>
core::result<void> assign_list(core::result<std::shared_ptr<const List>> parsed,
                               std::shared_ptr<const List>& target)
{
    if (!parsed) {
        return tl::unexpected(parsed.error());
    }
    target = std::move(*parsed);
    return {};
}

Json::Value write_plans(const plan_shard& shard)
{
    Json::Value json(Json::objectValue);
    for (const plan& value : shard.page("", shard.size())) {
        json[value.id] = to_json(value);
    }
    return json;
}

Json::Value write_access(const access_shard& shard)
{
    Json::Value json(Json::objectValue);
    for (const std::string& id : shard.page("", shard.size())) {
        json[id] = to_json(*shard.find(id));
    }
    return json;
}

Json::Value write_upstreams(const upstream_list& list)
{
    Json::Value json(Json::objectValue);
    for (const auto& [id, value] : list.upstreams) {
        json[id] = to_json(value);
    }
    return json;
}

} // namespace

std::string plans_key(std::size_t shard)
{
    return "config/plans/" + std::to_string(shard);
}

std::string access_key(std::size_t shard)
{
    return "config/access/" + std::to_string(shard);
}

repository::repository(std::size_t list_shards) : published(empty_snapshot(list_shards)) {}

acceptance repository::offer(const std::string& key, const Json::Value& value)
{
    if (!key.starts_with(configuration_prefix)) {
        return acceptance::not_configuration;
    }
    const std::lock_guard lock(this->mutex);
    const std::shared_ptr<const snapshot> before = this->published.read();
    const auto offered = static_cast<generation>(core::integer_member(value, "generation"));
    const generation in_force = before->generation_of(key);
    if (value.isObject() && offered <= in_force && in_force > 0) {
        return acceptance::not_newer;
    }
    auto next = std::make_shared<snapshot>(*before);
    const core::result<void> merged = merge(*next, key, value);
    if (!merged) {
        this->rejected[key] = rejection{.offered = offered, .reason = merged.error().message};
        return acceptance::invalid;
    }
    this->rejected.erase(key);
    next->generations[key] = offered;
    next->digest ^= digest_of(key, in_force) ^ digest_of(key, offered);
    this->published.publish(std::move(next));
    return acceptance::accepted;
}

core::result<void> repository::merge(snapshot& next, const std::string& key, const Json::Value& value)
{
    if (!value.isObject() || core::integer_member(value, "generation") <= 0) {
        return core::failure(core::error_code::invalid_argument,
                             "expected an object with a generation above zero");
    }
    const std::size_t shards = next.plan_shards.size();
    if (const auto index = shard_index(key, "config/plans/", shards)) {
        return assign_list(read_plans(value), next.plan_shards[*index]);
    }
    if (const auto index = shard_index(key, "config/access/", shards)) {
        return assign_list(read_access(value), next.access_shards[*index]);
    }
    if (key == upstreams_key) {
        return assign_list(read_upstreams(value), next.upstreams);
    }
    if (key == moves_key && value["moves"].isObject()) {
        next.moves = value["moves"];
        return {};
    }
    return core::failure(core::error_code::invalid_argument,
                         "unknown list or shard, or a moves list that is not an object");
}

std::shared_ptr<const snapshot> repository::current() const
{
    return this->published.read();
}

std::map<std::string, rejection> repository::rejections() const
{
    const std::lock_guard lock(this->mutex);
    return this->rejected;
}

Json::Value repository::stored(const std::string& key) const
{
    const std::shared_ptr<const snapshot> in_force = this->published.read();
    const generation current = in_force->generation_of(key);
    if (current == 0) {
        return {};
    }
    const std::size_t shards = in_force->plan_shards.size();
    Json::Value value(Json::objectValue);
    value["generation"] = static_cast<Json::UInt64>(current);
    if (const auto index = shard_index(key, "config/plans/", shards)) {
        value["plans"] = write_plans(*in_force->plan_shards[*index]);
    }
    else if (const auto access_index = shard_index(key, "config/access/", shards)) {
        value["access"] = write_access(*in_force->access_shards[*access_index]);
    }
    else if (key == upstreams_key) {
        value["upstreams"] = write_upstreams(*in_force->upstreams);
    }
    else if (key == moves_key) {
        value["moves"] = in_force->moves;
    }
    return value;
}

} // namespace samphireway::configuration
