#include "processes/returning_store.h"

#include <algorithm>
#include <sstream>
#include <vector>

namespace samphireway::testing {

namespace {

using std::chrono::milliseconds;

std::int64_t read_number(const std::string& target, const std::string& name)
{
    const std::size_t at = target.find(name + "=");
    return at == std::string::npos ? 0 : std::stoll(target.substr(at + name.size() + 1));
}

std::vector<std::string> split_path(const std::string& target)
{
    std::vector<std::string> path;
    std::istringstream parts(target.substr(1, target.find('?') - 1));
    for (std::string part; std::getline(parts, part, '/');) {
        path.push_back(part);
    }
    path.resize(std::max<std::size_t>(path.size(), 2));
    return path;
}

Json::Value parse(const std::string& text)
{
    Json::Value result;
    std::istringstream(text) >> result;
    return result;
}

} // namespace

returning_store::~returning_store()
{
    this->stop();
}

std::int64_t returning_store::set(const std::string& kind, const std::string& name, const Json::Value& spec)
{
    const std::lock_guard lock(this->mutex);
    this->store(kind, name, "spec", spec);
    return this->revision;
}

Json::Value& returning_store::store(const std::string& kind, const std::string& name, const char* member,
                                    const Json::Value& value)
{
    Json::Value& object = this->objects[kind][name];
    if (object.isNull()) {
        object["metadata"]["name"] = name;
    }
    else if (object[member] == value) {
        return object;
    }
    object[member] = value;
    object["metadata"]["revision"] = static_cast<Json::Int64>(++this->revision);
    this->history.push_back({this->revision, kind, object, false});
    this->changed.notify_all();
    return object;
}

void returning_store::remove(const std::string& kind, const std::string& name)
{
    const std::lock_guard lock(this->mutex);
    const Json::Value object = this->objects[kind][name];
    this->objects[kind].erase(name);
    this->history.push_back({++this->revision, kind, object, true});
    this->changed.notify_all();
}

void returning_store::add_changes(int count)
{
    for (int index = 0; index < count; ++index) {
        this->set("marks", "m" + std::to_string(index), static_cast<Json::Int64>(this->revision));
    }
}

void returning_store::copy()
{
    const std::lock_guard lock(this->mutex);
    this->copied_revision = this->revision;
    this->copied_objects = this->objects;
    this->copied_history = this->history;
}

void returning_store::go_away()
{
    const std::lock_guard lock(this->mutex);
    this->is_away = true;
    this->changed.notify_all();
}

void returning_store::restore_copy()
{
    const std::lock_guard lock(this->mutex);
    this->revision = this->copied_revision;
    this->objects = this->copied_objects;
    this->history = this->copied_history;
    ++this->generation;
}

void returning_store::come_back()
{
    const std::lock_guard lock(this->mutex);
    this->is_away = false;
}

void returning_store::cut_watches(milliseconds least, milliseconds most)
{
    const std::lock_guard lock(this->mutex);
    this->watch_limit.emplace(static_cast<int>(least.count()), static_cast<int>(most.count()));
}

int returning_store::count_cut()
{
    const std::lock_guard lock(this->mutex);
    return this->cut;
}

void returning_store::stop()
{
    {
        const std::lock_guard lock(this->mutex);
        this->is_stopping = true;
    }
    this->changed.notify_all();
    this->front.stop();
}

bool returning_store::holds(const std::string& kind, const std::string& name)
{
    const std::lock_guard lock(this->mutex);
    return this->objects[kind].contains(name);
}

int returning_store::count_answered(int status)
{
    const std::lock_guard lock(this->mutex);
    return this->answered[status];
}

bool returning_store::is_reachable()
{
    const std::lock_guard lock(this->mutex);
    return !this->is_away;
}

void returning_store::serve(stage::channel& from)
{
    while (std::optional<stage::request> call = stage::read_request_head(from)) {
        if (!stage::read_request_body(from, *call)) {
            return;
        }
        if (!this->is_reachable()) {
            return;
        }
        const std::optional<reply> given = this->answer(*call);
        if (!given) {
            return;
        }
        const reply& result = *given;
        std::int64_t named_generation = 0;
        {
            const std::lock_guard lock(this->mutex);
            if (this->is_away) {
                return;
            }
            ++this->answered[result.status];
            named_generation = this->generation;
        }
        Json::StreamWriterBuilder writer;
        writer["indentation"] = "";
        const std::string body = Json::writeString(writer, result.body);
        std::ostringstream text;
        text << "HTTP/1.1 " << result.status << " X\r\nStore-Era: " << named_generation
             << "\r\nContent-Type: application/json\r\nContent-Length: " << body.size() << "\r\n\r\n"
             << body;
        if (!from.write(text.str())) {
            return;
        }
    }
}

std::optional<returning_store::reply> returning_store::answer(const stage::request& call)
{
    const std::vector<std::string> path = split_path(call.target);
    if (call.method != "GET") {
        return this->write(call, path);
    }
    if (call.target.find("watch=") != std::string::npos) {
        return this->watch(path[1], read_number(call.target, "watch"),
                           milliseconds(read_number(call.target, "waitMs")));
    }
    const std::lock_guard lock(this->mutex);
    if (path.size() == 3) {
        const auto found = this->objects[path[1]].find(path[2]);
        return found == this->objects[path[1]].end() ? reply{.status = 404} : reply{.body = found->second};
    }
    reply list;
    list.body["items"] = Json::Value(Json::arrayValue);
    for (const auto& [name, object] : this->objects[path[1]]) {
        list.body["items"].append(object);
    }
    list.body["hasMore"] = false;
    list.body["at"] = static_cast<Json::Int64>(this->revision);
    return list;
}

std::optional<returning_store::reply> returning_store::watch(const std::string& kind, std::int64_t after,
                                                             milliseconds wait)
{
    std::unique_lock lock(this->mutex);
    const milliseconds limit = this->watch_limit ? milliseconds((*this->watch_limit)(this->random)) : wait;
    const auto deadline = stage::steady::now() + std::min(wait, limit);
    if (after > this->revision) {
        return reply{.status = 410};
    }
    reply result;
    result.body["events"] = Json::Value(Json::arrayValue);
    while (true) {
        for (const event& entry : this->history) {
            if (entry.kind == kind && entry.revision > after) {
                Json::Value item;
                item["deleted"] = entry.is_deleted;
                item["object"] = entry.object;
                result.body["events"].append(item);
            }
        }
        if (!result.body["events"].empty() || this->is_away || this->is_stopping ||
            this->changed.wait_until(lock, deadline) == std::cv_status::timeout) {
            break;
        }
    }
    if (result.body["events"].empty() && limit < wait) {
        ++this->cut;
        return std::nullopt;
    }
    result.body["at"] = static_cast<Json::Int64>(this->revision);
    return result;
}

returning_store::reply returning_store::write(const stage::request& call,
                                              const std::vector<std::string>& path)
{
    const Json::Value body = parse(call.body);
    const Json::Value& metadata = body["metadata"];
    const std::string name = path.size() > 2 ? path[2] : metadata["name"].asString();
    const std::lock_guard lock(this->mutex);
    const auto found = this->objects[path[1]].find(name);
    const bool exists = found != this->objects[path[1]].end();
    if (call.method == "POST") {
        return exists ? reply{.status = 409, .body = found->second}
                      : reply{.body = this->store(path[1], name, "spec", body["spec"])};
    }
    if (!exists) {
        return {.status = 404};
    }
    if (metadata.isMember("revision") && metadata["revision"] != found->second["metadata"]["revision"]) {
        return {.status = 409, .body = found->second};
    }
    const char* const member = path.size() > 3 && path[3] == "status" ? "status" : "spec";
    return {.body = this->store(path[1], name, member, body[member])};
}

} // namespace samphireway::testing
