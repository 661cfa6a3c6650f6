#include "gateway/control/store_counters.h"

namespace samphireway::gateway {

platform::object_store store_counters::count(const platform::object_store& store)
{
    platform::object_store counted = store;
    counted.get = [this, call = store.get](const std::string& key) {
        auto outcome = call(key);
        this->add("get", key, outcome.has_value());
        return outcome;
    };
    counted.put = [this, call = store.put](const std::string& key, const Json::Value& value,
                                           platform::object_version expected) {
        auto outcome = call(key, value, expected);
        this->add("put", key, outcome.has_value());
        return outcome;
    };
    counted.remove = [this, call = store.remove](const std::string& key, platform::object_version expected) {
        auto outcome = call(key, expected);
        this->add("remove", key, outcome.has_value());
        return outcome;
    };
    counted.list = [this, call = store.list](const std::string& prefix) {
        auto outcome = call(prefix);
        this->add("list", prefix, outcome.has_value());
        return outcome;
    };
    counted.watch = [this, call = store.watch](const std::string& prefix, platform::object_version after,
                                               core::steady_time deadline) {
        auto outcome = call(prefix, after, deadline);
        this->add("watch", prefix, outcome.has_value());
        return outcome;
    };
    return counted;
}

std::map<store_counters::call_kind, std::int64_t> store_counters::read() const
{
    const std::lock_guard lock(this->mutex);
    return this->calls;
}

void store_counters::add(std::string_view operation, const std::string& key, bool is_answered)
{
    const std::lock_guard lock(this->mutex);
    ++this->calls[call_kind{.operation = std::string(operation),
                            .kind = key.substr(0, key.find('/')),
                            .is_answered = is_answered}];
}

} // namespace samphireway::gateway
