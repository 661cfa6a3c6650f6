#include "scene.hh"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace scene {

namespace {

sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

std::string trim(const std::string& text)
{
    const auto first = text.find_first_not_of(" \t");
    const auto last = text.find_last_not_of(" \t\r");
    return first == std::string::npos ? "" : text.substr(first, last - first + 1);
}

std::string compact(const Json::Value& value)
{
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "";
    return Json::writeString(writer, value);
}

Json::Value parse(const std::string& text)
{
    Json::Value result;
    Json::CharReaderBuilder builder;
    std::istringstream in(text);
    std::string errors;
    return Json::parseFromStream(builder, in, &result, &errors) ? result : Json::Value();
}

std::int64_t query_number(const std::string& target, const std::string& name)
{
    const std::size_t at = target.find(name + "=");
    return at == std::string::npos ? 0 : std::atoll(target.c_str() + at + name.size() + 1);
}

/** Returns a free port below those that the system gives to outgoing connections. */
int reserve_port()
{
    static std::atomic<int> offset{static_cast<int>(::getpid()) * 37};
    for (int tries = 0; tries < 20000; ++tries) {
        const int port = 10000 + offset++ % 20000;
        const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = loopback(port);
        const bool is_free =
            ::bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
        ::close(descriptor);
        if (is_free) {
            return port;
        }
    }
    throw cannot_run{"no free port"};
}

} // namespace

record::record(const std::string& path) : file(std::fopen(path.c_str(), "w"))
{
    if (this->file == nullptr) {
        throw cannot_run{"cannot write " + path};
    }
}

record::~record()
{
    std::fclose(this->file);
}

long long record::now_ms() const
{
    return std::chrono::duration_cast<milliseconds>(steady::now() - this->begin).count();
}

void record::line(const std::string& text)
{
    const std::lock_guard lock(this->mutex);
    std::fprintf(this->file, "%7lld %s\n", this->now_ms(), text.c_str());
    std::fflush(this->file);
}

int listen_on_free_port(int& port)
{
    for (int tries = 0; tries < 100; ++tries) {
        port = reserve_port();
        const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const sockaddr_in address = loopback(port);
        if (::bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 &&
            ::listen(descriptor, 512) == 0) {
            return descriptor;
        }
        ::close(descriptor);
    }
    throw cannot_run{"cannot listen"};
}

std::string message::header(const std::string& name) const
{
    const auto found = this->headers.find(name);
    return found == this->headers.end() ? "" : found->second;
}

int message::status() const
{
    return this->start.size() < 12 ? 0 : std::atoi(this->start.c_str() + 9);
}

std::string message::method() const
{
    return this->start.substr(0, this->start.find(' '));
}

std::string message::target() const
{
    const std::size_t begin = this->start.find(' ') + 1;
    return this->start.substr(begin, this->start.find(' ', begin) - begin);
}

channel::~channel()
{
    ::close(this->descriptor);
}

std::unique_ptr<channel> channel::connect(int port)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(port);
    if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        ::close(descriptor);
        return nullptr;
    }
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return std::make_unique<channel>(descriptor);
}

bool channel::write(const std::string& bytes)
{
    std::size_t done = 0;
    while (done < bytes.size()) {
        const ssize_t count =
            ::send(this->descriptor, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        done += static_cast<std::size_t>(count);
    }
    return true;
}

bool channel::fill(steady::time_point deadline)
{
    const auto left = std::chrono::duration_cast<milliseconds>(deadline - steady::now()).count();
    pollfd waited{.fd = this->descriptor, .events = POLLIN, .revents = 0};
    if (left <= 0 || ::poll(&waited, 1, static_cast<int>(left)) <= 0) {
        return false;
    }
    char bytes[16384];
    const ssize_t count = ::recv(this->descriptor, bytes, sizeof bytes, 0);
    if (count <= 0) {
        return false;
    }
    this->buffer.append(bytes, static_cast<std::size_t>(count));
    return true;
}

std::optional<message> channel::read(bool is_response, milliseconds time)
{
    const auto deadline = steady::now() + time;
    std::size_t end = 0;
    while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!this->fill(deadline)) {
            return std::nullopt;
        }
    }
    message result;
    std::istringstream head(this->buffer.substr(0, end));
    this->buffer.erase(0, end + 4);
    std::getline(head, result.start);
    result.start = trim(result.start);
    for (std::string line; std::getline(head, line);) {
        const std::size_t colon = line.find(':');
        result.headers[lower(line.substr(0, colon))] = trim(line.substr(colon + 1));
    }
    const auto take = [&](std::size_t count) {
        while (this->buffer.size() < count) {
            if (!this->fill(deadline)) {
                result.body += this->buffer;
                this->buffer.clear();
                return false;
            }
        }
        result.body += this->buffer.substr(0, count);
        this->buffer.erase(0, count);
        return true;
    };
    if (lower(result.header("transfer-encoding")) == "chunked") {
        while (true) {
            std::size_t line = 0;
            while ((line = this->buffer.find("\r\n")) == std::string::npos) {
                if (!this->fill(deadline)) {
                    return result;
                }
            }
            const std::size_t size = std::strtoul(this->buffer.c_str(), nullptr, 16);
            this->buffer.erase(0, line + 2);
            if (!take(size)) {
                return result;
            }
            while (this->buffer.size() < 2) {
                if (!this->fill(deadline)) {
                    return result;
                }
            }
            this->buffer.erase(0, 2);
            if (size == 0) {
                result.is_complete = true;
                return result;
            }
        }
    }
    const std::string length = result.header("content-length");
    if (!length.empty()) {
        result.is_complete = take(static_cast<std::size_t>(std::atoll(length.c_str())));
        return result;
    }
    if (is_response && result.status() != 204) {
        while (this->fill(deadline)) {
        }
        result.body = std::move(this->buffer);
        this->buffer.clear();
    }
    result.is_complete = true;
    return result;
}

void channel::reset_on_close()
{
    const linger at_once{.l_onoff = 1, .l_linger = 0};
    ::setsockopt(this->descriptor, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
}

void channel::shutdown()
{
    ::shutdown(this->descriptor, SHUT_RDWR);
}

bool channel::is_closed_by_peer()
{
    char byte = 0;
    const ssize_t count = ::recv(this->descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

server::server(std::function<void(channel&)> serve_to_use)
    : serve(std::move(serve_to_use)), listener(listen_on_free_port(this->port)),
      acceptor([this] { this->accept_all(); })
{
}

server::~server()
{
    this->stop();
}

void server::stop()
{
    if (this->listener < 0) {
        return;
    }
    this->crash();
    this->acceptor.join();
    while (this->running > 0) {
        this->close_all();
        std::this_thread::sleep_for(milliseconds(10));
    }
    ::close(this->listener);
    this->listener = -1;
}

void server::crash()
{
    this->is_stopping = true;
    ::shutdown(this->listener, SHUT_RDWR);
    this->close_all();
}

void server::close_all()
{
    const std::lock_guard lock(this->mutex);
    for (channel* each : this->open_channels) {
        each->shutdown();
    }
}

void server::accept_all()
{
    while (!this->is_stopping) {
        const int descriptor = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0) {
            if (this->is_stopping) {
                return;
            }
            std::this_thread::sleep_for(milliseconds(5));
            continue;
        }
        const int on = 1;
        ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        ++this->running;
        std::thread([this, descriptor] {
            {
                channel connected(descriptor);
                {
                    const std::lock_guard lock(this->mutex);
                    this->open_channels.insert(&connected);
                }
                if (!this->is_stopping) {
                    this->serve(connected);
                }
                const std::lock_guard lock(this->mutex);
                this->open_channels.erase(&connected);
            }
            --this->running;
        }).detach();
    }
}

store::store(record& notes_to_use) : notes(notes_to_use), front([this](channel& from) { this->serve(from); })
{
}

store::~store()
{
    this->stop();
}

void store::stop()
{
    {
        const std::lock_guard lock(this->mutex);
        this->is_stopping = true;
    }
    this->changed.notify_all();
    this->front.stop();
}

Json::Value& store::put(const std::string& kind, const std::string& name, const char* member,
                        const Json::Value& value)
{
    Json::Value& object = this->held.objects[kind][name];
    if (!object.isNull() && object[member] == value) {
        return object; // Nothing changes: no revision, no event.
    }
    if (object.isNull()) {
        object["metadata"]["name"] = name;
        object["metadata"]["created"] = static_cast<Json::Int64>(this->held.revision + 1);
        object["metadata"]["finalizers"] = Json::Value(Json::arrayValue);
        object["metadata"]["deletionPending"] = false;
        object["spec"] = Json::Value();
        object["status"] = Json::Value();
    }
    object[member] = value;
    object["metadata"]["revision"] = static_cast<Json::Int64>(++this->held.revision);
    this->held.history.push_back({this->held.revision, kind, object, false});
    this->changed.notify_all();
    return object;
}

std::int64_t store::set(const std::string& kind, const std::string& name, const Json::Value& spec)
{
    const std::lock_guard lock(this->mutex);
    this->put(kind, name, "spec", spec);
    this->notes.line("store: " + kind + "/" + name + " written from outside, revision " +
                     std::to_string(this->held.revision));
    return this->held.revision;
}

void store::remove(const std::string& kind, const std::string& name)
{
    const std::lock_guard lock(this->mutex);
    auto& objects = this->held.objects[kind];
    const auto found = objects.find(name);
    if (found != objects.end()) {
        this->held.history.push_back({++this->held.revision, kind, found->second, true});
        objects.erase(found);
        this->changed.notify_all();
    }
}

Json::Value store::get(const std::string& kind, const std::string& name)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->held.objects[kind].find(name);
    return found == this->held.objects[kind].end() ? Json::Value() : found->second;
}

void store::copy()
{
    const std::lock_guard lock(this->mutex);
    this->copied = this->held;
    this->notes.line("store: copy taken at revision " + std::to_string(this->held.revision));
}

void store::cut_watches(milliseconds least, milliseconds most)
{
    const std::lock_guard lock(this->mutex);
    this->least_watch = least;
    this->longest_watch = most;
}

void store::go_away()
{
    {
        const std::lock_guard lock(this->mutex);
        this->is_away = true;
        this->notes.line("store: away at revision " + std::to_string(this->held.revision));
    }
    this->changed.notify_all();
    this->front.close_all();
}

void store::come_back(const std::function<void()>& rewrite)
{
    {
        const std::lock_guard lock(this->mutex);
        this->held = this->copied;
        ++this->era;
    }
    rewrite();
    const std::lock_guard lock(this->mutex);
    this->is_away = false;
    this->notes.line("store: back from the copy, era " + std::to_string(this->era) + ", revision " +
                     std::to_string(this->held.revision));
}

void store::serve(channel& from)
{
    while (std::optional<message> call = from.read(false, milliseconds(60000))) {
        {
            const std::lock_guard lock(this->mutex);
            if (this->is_away || this->is_stopping) {
                return;
            }
        }
        Json::Value body;
        const int status = this->answer(*call, body);
        if (status == 0) {
            return;
        }
        int named_era = 0;
        {
            const std::lock_guard lock(this->mutex);
            if (this->is_away || this->is_stopping) {
                return;
            }
            named_era = this->era;
        }
        const std::string text = compact(body);
        if (!from.write("HTTP/1.1 " + std::to_string(status) + " X\r\nStore-Era: " +
                        std::to_string(named_era) + "\r\nContent-Type: application/json\r\nContent-Length: " +
                        std::to_string(text.size()) + "\r\n\r\n" + text)) {
            return;
        }
    }
}

int store::answer(const message& call, Json::Value& body)
{
    const std::string target = call.target();
    std::vector<std::string> path;
    std::istringstream parts(target.substr(1, target.find('?') - 1));
    for (std::string part; std::getline(parts, part, '/');) {
        path.push_back(part);
    }
    if (path.size() < 2 || path[0] != "objects") {
        return 404;
    }
    const std::string method = call.method();
    if (method == "GET" && target.find("watch=") != std::string::npos) {
        return this->watch(path[1], query_number(target, "watch"),
                           milliseconds(query_number(target, "waitMs")), body);
    }
    const std::lock_guard lock(this->mutex);
    auto& objects = this->held.objects[path[1]];
    if (method == "GET" && path.size() == 2) {
        body["items"] = Json::Value(Json::arrayValue);
        for (const auto& [name, object] : objects) {
            body["items"].append(object);
        }
        body["hasMore"] = false;
        body["at"] = static_cast<Json::Int64>(this->held.revision);
        return 200;
    }
    const Json::Value sent = parse(call.body);
    const std::string name = path.size() > 2 ? path[2] : sent["metadata"]["name"].asString();
    const auto found = objects.find(name);
    if (method == "GET") {
        if (found == objects.end()) {
            return 404;
        }
        body = found->second;
        return 200;
    }
    if (method == "POST") {
        if (found != objects.end()) {
            body = found->second;
            return 409;
        }
        body = this->put(path[1], name, "spec", sent["spec"]);
        return 200;
    }
    if (found == objects.end()) {
        return 404;
    }
    const std::int64_t held_revision = found->second["metadata"]["revision"].asInt64();
    const std::int64_t expected =
        method == "DELETE" ? query_number(target, "revision") : sent["metadata"].get("revision", 0).asInt64();
    if (expected != 0 && expected != held_revision) {
        body = found->second;
        return 409;
    }
    if (method == "DELETE") {
        this->held.history.push_back({++this->held.revision, path[1], found->second, true});
        body = found->second;
        objects.erase(found);
        this->changed.notify_all();
        return 200;
    }
    const bool is_status = path.size() > 3 && path[3] == "status";
    const char* const member = is_status ? "status" : "spec";
    body = this->put(path[1], name, member, sent[member]);
    return 200;
}

int store::watch(const std::string& kind, std::int64_t after, milliseconds wait, Json::Value& body)
{
    std::unique_lock lock(this->mutex);
    const milliseconds longest(std::uniform_int_distribution<std::int64_t>(
        this->least_watch.count(), this->longest_watch.count())(this->random));
    const bool is_cut = wait > longest;
    const auto deadline = steady::now() + std::min(wait, longest);
    const int begun_in = this->era;
    if (after > this->held.revision) {
        return 410;
    }
    body["events"] = Json::Value(Json::arrayValue);
    while (true) {
        for (const event& entry : this->held.history) {
            if (entry.kind == kind && entry.revision > after) {
                Json::Value item;
                item["deleted"] = entry.is_deleted;
                item["object"] = entry.object;
                body["events"].append(item);
            }
        }
        if (!body["events"].empty() || this->is_away || this->is_stopping || this->era != begun_in ||
            this->changed.wait_until(lock, deadline) == std::cv_status::timeout) {
            break;
        }
    }
    if (is_cut && body["events"].empty() && steady::now() >= deadline) {
        return 0;
    }
    body["at"] = static_cast<Json::Int64>(this->held.revision);
    return 200;
}

engine::engine(record& notes_to_use, options options_to_use)
    : setup(std::move(options_to_use)), notes(notes_to_use),
      born(std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
               .count()),
      front([this](channel& from) { this->serve(from); })
{
}

Json::Value engine::entry(const std::string& state) const
{
    Json::Value result;
    result["service"] = this->setup.service;
    result["address"] = "127.0.0.1:" + std::to_string(this->front.port);
    result["zone"] = "toto";
    result["version"] = "v1";
    result["slots"] = this->setup.slots;
    result["state"] = state;
    result["coldLeftMs"] = 0;
    result["stage"] = "prefill_decode";
    Json::Value model;
    model["name"] = "m";
    model["version"] = 1;
    model["adapters"] = Json::Value(Json::arrayValue);
    result["models"].append(model);
    result["sequence"] = 0;
    result["born"] = static_cast<Json::Int64>(this->born);
    return result;
}

void engine::serve(channel& from)
{
    while (std::optional<message> call = from.read(false, milliseconds(8000))) {
        const std::string id = call->header("x-samphireway-sw-attempt-id");
        const std::string expected = call->header("x-samphireway-sw-expect-instance");
        if (!expected.empty() && expected != this->setup.id) {
            from.write("HTTP/1.1 421 Misdirected Request\r\nX-Samphireway-Sw-Attempt-Id: " + id +
                       "\r\nX-Samphireway-Sw-Instance: " + this->setup.id + "\r\nContent-Length: 0\r\n\r\n");
            continue;
        }
        ++this->runs;
        if (this->setup.on_run) {
            this->setup.on_run();
        }
        this->notes.line("engine " + this->setup.id + " runs " + id + " of tenant " +
                         call->header("x-samphireway-sw-tenant") + " with " +
                         call->header("x-samphireway-sw-token-usage"));
        const bool is_deadly =
            !this->setup.deadly_part.empty() &&
            call->header("x-samphireway-sw-prefix-hash").find(this->setup.deadly_part) != std::string::npos;
        if (this->setup.is_plain) {
            std::this_thread::sleep_for(this->setup.work);
            if (!from.write("HTTP/1.1 200 OK\r\nX-Samphireway-Sw-Attempt-Id: " + id +
                            "\r\nX-Samphireway-Sw-Signature: s." + id +
                            "\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\nopen")) {
                return;
            }
            continue;
        }
        if (is_deadly) {
            this->setup.on_deadly_arrival();
        }
        if (is_deadly && this->setup.crashes_before_head) {
            std::this_thread::sleep_for(this->setup.event_gap);
            this->front.crash();
            this->setup.on_crash();
            return;
        }
        if (!from.write("HTTP/1.1 200 OK\r\nX-Samphireway-Sw-Attempt-Id: " + id +
                        "\r\nX-Samphireway-Sw-Signature: s." + id +
                        "\r\nX-Samphireway-Sw-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n" +
                        (this->setup.is_framed ? "Transfer-Encoding: chunked\r\n\r\n"
                                               : "Connection: close\r\n\r\n"))) {
            return;
        }
        for (int number = 1; number <= this->setup.events; ++number) {
            std::this_thread::sleep_for(this->setup.event_gap);
            const std::string event = "id: " + std::to_string(number) + "\ndata: tokens\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx", event.size());
            if (!from.write(this->setup.is_framed ? std::string(size) + "\r\n" + event + "\r\n" : event)) {
                return;
            }
            if (is_deadly) {
                this->front.crash();
                this->setup.on_crash();
                return;
            }
        }
        if (!this->setup.is_framed || !from.write("0\r\n\r\n")) {
            return;
        }
    }
}

namespace {

std::string quoted(const std::string& text)
{
    return "\"" + text + "\"";
}

void replace_all(std::string& text, const std::string& from, const std::string& to)
{
    for (std::size_t at = 0; (at = text.find(from, at)) != std::string::npos; at += to.size()) {
        text.replace(at, from.size(), to);
    }
}

/** Fills in the settings template of the deploy file, as far as it uses the platform's placeholders. */
std::string fill_template(const std::map<std::string, std::string>& values)
{
    std::ifstream in("deploy/node.json.template");
    std::stringstream read;
    read << in.rdbuf();
    std::string text = read.str();
    for (const auto& [name, value] : values) {
        replace_all(text, "{{" + name + "|json}}", value);
        replace_all(text, "{{" + name + "}}",
                    value.front() == '"' ? value.substr(1, value.size() - 2) : value);
        replace_all(text, "{{#" + name + "}}", "");
        const std::string end = "{{/" + name + "}}";
        const std::string absent = "{{^" + name + "}}";
        for (std::size_t at = 0; (at = text.find(absent)) != std::string::npos;) {
            const std::size_t last = text.find(end, at);
            text.erase(at, last + end.size() - at);
        }
        replace_all(text, end, "");
    }
    if (text.empty() || text.find("{{") != std::string::npos) {
        throw cannot_run{"the settings template has a placeholder that this script does not know"};
    }
    return text;
}

/** Returns the words of the command of the role in the deploy file. */
std::vector<std::string> deploy_command()
{
    std::ifstream in("deploy/system.toml");
    for (std::string line; std::getline(in, line);) {
        if (line.rfind("run = \"", 0) == 0) {
            std::istringstream words(line.substr(7, line.rfind('"') - 7));
            std::vector<std::string> result;
            for (std::string word; words >> word;) {
                result.push_back(word);
            }
            return result;
        }
    }
    throw cannot_run{"the deploy file names no command"};
}

} // namespace

node::node(const std::string& id_to_use, int store_port, const std::string& directory_to_use)
    : id(id_to_use), front(reserve_port()), probes(reserve_port()), internal(reserve_port()),
      directory(directory_to_use)
{
    const auto address = [](int port) {
        return quoted("127.0.0.1:" + std::to_string(port));
    };
    std::ofstream(this->directory + "/" + this->id + ".json")
        << fill_template({{"nodeName", quoted(this->id)},
                          {"zone", quoted("toto")},
                          {"ip", quoted("127.0.0.1")},
                          {"limits.cpuShare", "0.25"},
                          {"limits.linkMbps", "1000.0"},
                          {"limits.memoryMb", "260"},
                          {"listen.front", address(this->front)},
                          {"listen.readiness", address(this->probes)},
                          {"internalPorts.0", std::to_string(this->internal)},
                          {"platform.address", address(store_port)},
                          {"bounds.exposeShare", "0.1"},
                          {"bounds.exposeSlack", "50"},
                          {"bounds.graceS", "8"}});
}

node::~node()
{
    if (this->process > 0) {
        ::kill(this->process, SIGKILL);
        this->wait_end();
    }
}

void node::start()
{
    const std::vector<std::string> words = deploy_command();
    const std::string settings = this->directory + "/" + this->id + ".json";
    const std::string log = this->directory + "/" + this->id + ".log";
    const pid_t parent = ::getpid();
    const pid_t child = ::fork();
    if (child == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::getppid() != parent) {
            ::_exit(127);
        }
        const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(out, STDOUT_FILENO);
        ::dup2(out, STDERR_FILENO);
        std::vector<char*> arguments;
        for (const std::string& word : words) {
            arguments.push_back(const_cast<char*>(word.c_str()));
        }
        arguments.push_back(nullptr);
        const std::string path = "PATH=" + std::string(std::getenv("PATH") ? std::getenv("PATH") : "");
        const std::string boot = "SAMPHIREWAY_BOOT=" + settings;
        char* environment[] = {const_cast<char*>(path.c_str()), const_cast<char*>(boot.c_str()),
                               const_cast<char*>("LANG=C.UTF-8"), nullptr};
        ::execve(arguments[0], arguments.data(), environment);
        ::_exit(127);
    }
    this->process = child;
}

void node::signal(int number)
{
    ::kill(this->process, number);
}

void node::wait_end()
{
    if (this->process > 0) {
        ::waitpid(this->process, nullptr, 0);
        this->process = 0;
    }
}

bool node::is_running()
{
    if (this->process > 0 && ::waitpid(this->process, nullptr, WNOHANG) != 0) {
        this->process = 0;
    }
    return this->process > 0;
}

void node::wait_ready(milliseconds time)
{
    const auto deadline = steady::now() + time;
    while (steady::now() < deadline && this->is_running()) {
        if (const auto probe = channel::connect(this->probes)) {
            probe->write("GET /readiness HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n");
            const auto answer = probe->read(true, milliseconds(500));
            if (answer && answer->status() == 200) {
                return;
            }
        }
        std::this_thread::sleep_for(milliseconds(50));
    }
    throw cannot_run{this->id + " was not ready"};
}

std::string request_text(const request& sent)
{
    if (sent.is_plain) {
        return "POST " + sent.path +
               " HTTP/1.1\r\nHost: ficu95.example\r\nX-Samphireway-Sw-Attempt-Id: " + sent.id +
               "\r\nX-Samphireway-Sw-Deadline-Ms: " + std::to_string(sent.deadline_ms) +
               "\r\nAuthorization: Bearer " + sent.key + "\r\nContent-Length: 0\r\n\r\n";
    }
    const std::string body = "{}";
    return "POST " + sent.path +
           " HTTP/1.1\r\nHost: ficu95.example\r\nX-Samphireway-Sw-Attempt-Id: " + sent.id +
           "\r\nX-Samphireway-Sw-Model: m\r\nX-Samphireway-Sw-Token-Usage: " +
           std::to_string(sent.prompt_tokens) + "," + std::to_string(sent.output_tokens) +
           "\r\nX-Samphireway-Sw-Prefix-Hash: " +
           (sent.parts.empty()
                ? "5c1e07a2:" + std::to_string(sent.prompt_tokens - 250) + "," + sent.id + ":250"
                : sent.parts) +
           "\r\nX-Samphireway-Sw-Deadline-Ms: " + std::to_string(sent.deadline_ms) +
           "\r\nAuthorization: Bearer " + sent.key + "\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

int count_events(const std::string& body)
{
    int count = 0;
    for (std::size_t at = 0; (at = body.find("\ndata:", at)) != std::string::npos; ++at) {
        ++count;
    }
    return count;
}

Json::Value make_config(int version, std::int64_t prepaid, int stride, bool has_desk)
{
    Json::Value route;
    route["name"] = "r-chat";
    route["host"] = "ficu95.example";
    route["pathPrefix"] = "/chat/";
    route["kind"] = "stream";
    route["timeoutMs"] = 4000;
    route["targetLatencyMs"] = 600;
    route["priority"] = 1;
    route["service"] = "taller";
    route["maxAttempts"] = 1;
    route["anonymous"] = false;
    route["sticky"] = true;
    route["canResume"] = false;
    route["gapAimMs"] = 400;
    Json::Value service;
    service["name"] = "taller";
    service["healthPath"] = "/health";
    service["maxConnections"] = 360;
    service["protocol"] = "h1";
    service["tls"] = false;
    service["engine"]["slots"] = 64;
    service["engine"]["kvCapacity"] = 438927;
    service["engine"]["stride"] = stride;
    Json::Value tenant;
    tenant["name"] = "alfa";
    tenant["apiKeys"].append("key-alfa");
    tenant["priority"] = 1;
    tenant["prepaid"] = static_cast<Json::Int64>(prepaid);
    Json::Value result;
    result["version"] = version;
    result["routes"].append(route);
    result["services"].append(service);
    result["tenants"].append(tenant);
    if (has_desk) {
        Json::Value status = route;
        status["name"] = "r-status";
        status["pathPrefix"] = "/status/";
        status["kind"] = "safe";
        status["service"] = "desk";
        status["sticky"] = false;
        status.removeMember("gapAimMs");
        result["routes"].append(status);
        status["name"] = "r-orders";
        status["pathPrefix"] = "/orders/";
        status["kind"] = "unsafe";
        result["routes"].append(status);
        Json::Value desk = service;
        desk["name"] = "desk";
        desk["maxConnections"] = 100;
        desk.removeMember("engine");
        result["services"].append(desk);
    }
    result["limits"]["headerBytes"] = 16384;
    result["limits"]["bodyBytes"] = 4194304;
    result["limits"]["headerTimeoutMs"] = 3000;
    result["limits"]["idleTimeoutMs"] = 15000;
    return result;
}

bool has_trouble()
{
    const char* const text = std::getenv("TROUBLE");
    return text == nullptr || std::string(text) != "0";
}

} // namespace scene
