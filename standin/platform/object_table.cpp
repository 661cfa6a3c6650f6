#include "platform/object_table.h"

namespace samphireway::standin {

std::optional<std::string> object_table::get(const std::string& key) const
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->objects.find(key);
    if (found == this->objects.end() || found->second.is_removed) {
        return std::nullopt;
    }
    return found->second.text;
}

text_put_outcome object_table::put(const std::string& key, const Json::Value& value,
                                   platform::object_version expected)
{
    return this->write(key, value, expected);
}

text_put_outcome object_table::remove(const std::string& key, platform::object_version expected)
{
    return this->write(key, Json::Value(), expected);
}

text_put_outcome object_table::write(const std::string& key, const Json::Value& value,
                                     platform::object_version expected)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->objects.find(key);
    const bool exists = found != this->objects.end() && !found->second.is_removed;
    const platform::object_version current_version = exists ? found->second.version : 0;
    if (current_version != expected) {
        text_put_outcome conflict;
        if (exists) {
            conflict.current = found->second.text;
        }
        return conflict;
    }
    ++this->revision;
    Json::Value json(Json::objectValue);
    json["key"] = key;
    json["version"] = static_cast<Json::UInt64>(this->revision);
    json["value"] = value;
    this->objects[key] = stored_object{
        .version = this->revision, .is_removed = value.isNull(), .text = core::write_json(json)};
    this->changed.notify_all();
    return text_put_outcome{.applied = true, .version = this->revision, .current = {}};
}

text_batch object_table::list(const std::string& prefix, platform::object_version after) const
{
    const std::lock_guard lock(this->mutex);
    return this->list_locked(prefix, after);
}

text_batch object_table::list_locked(const std::string& prefix, platform::object_version after) const
{
    text_batch batch;
    batch.revision = this->revision;
    for (auto entry = this->objects.lower_bound(prefix); entry != this->objects.end(); ++entry) {
        if (!entry->first.starts_with(prefix)) {
            break;
        }
        if (entry->second.version > after && !(entry->second.is_removed && after == 0)) {
            batch.objects.push_back(entry->second.text);
        }
    }
    return batch;
}

text_batch object_table::watch(const std::string& prefix, platform::object_version after,
                               core::steady_time deadline) const
{
    std::unique_lock lock(this->mutex);
    text_batch batch = this->list_locked(prefix, after);
    while (batch.objects.empty()) {
        if (this->changed.wait_until(lock, deadline) == std::cv_status::timeout) {
            return this->list_locked(prefix, after);
        }
        batch = this->list_locked(prefix, after);
    }
    return batch;
}

} // namespace samphireway::standin
