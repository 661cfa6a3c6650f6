#include "platform/vm_table.h"

namespace samphireway::standin {

namespace {

constexpr std::size_t maximum_history = 1024;

Json::Value make_list(std::uint64_t revision, Json::Value vms)
{
    Json::Value list(Json::objectValue);
    list["revision"] = static_cast<Json::UInt64>(revision);
    list["vms"] = std::move(vms);
    return list;
}

} // namespace

vm_table::vm_table()
{
    this->history.push_back(
        list_version{.time = core::steady_time{}, .list = make_list(1, Json::Value(Json::arrayValue))});
}

void vm_table::set(Json::Value vms, core::steady_time now)
{
    const std::lock_guard lock(this->mutex);
    ++this->revision;
    this->history.push_back(list_version{.time = now, .list = make_list(this->revision, std::move(vms))});
    if (this->history.size() > maximum_history) {
        this->history.pop_front();
    }
}

Json::Value vm_table::read(std::chrono::milliseconds lag, core::steady_time now) const
{
    const std::lock_guard lock(this->mutex);
    for (auto entry = this->history.rbegin(); entry != this->history.rend(); ++entry) {
        if (entry->time + lag <= now) {
            return entry->list;
        }
    }
    return this->history.front().list;
}

} // namespace samphireway::standin
