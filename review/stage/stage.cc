#include "stage.hh"

#include <algorithm>
#include <arpa/inet.h>
#include <csignal>
#include <cstdarg>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace stage {

namespace {

constexpr milliseconds store_delay{4};

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

std::string trim(const std::string& text)
{
    const auto first = text.find_first_not_of(" \t\r\n");
    return first == std::string::npos ? "" : text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1);
}

sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

std::string to_text(const Json::Value& json)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, json);
}

Json::Value parse(const std::string& text)
{
    Json::Value json;
    std::string errors;
    std::istringstream stream(text);
    Json::CharReaderBuilder builder;
    Json::parseFromStream(builder, stream, &json, &errors);
    return json;
}

bool read_line(channel& from, std::string& line)
{
    std::size_t end = 0;
    while ((end = from.buffer.find("\r\n")) == std::string::npos) {
        if (!from.fill()) {
            return false;
        }
    }
    line = from.buffer.substr(0, end);
    from.buffer.erase(0, end + 2);
    return true;
}

bool read_headers(channel& from, std::map<std::string, std::string>& headers)
{
    std::string line;
    while (read_line(from, line)) {
        if (line.empty()) {
            return true;
        }
        const auto colon = line.find(':');
        if (colon != std::string::npos) {
            headers[lower(line.substr(0, colon))] = trim(line.substr(colon + 1));
        }
    }
    return false;
}

std::map<std::string, std::string> parse_query(const std::string& text)
{
    std::map<std::string, std::string> result;
    std::istringstream stream(text);
    std::string item;
    while (std::getline(stream, item, '&')) {
        const auto equals = item.find('=');
        result[item.substr(0, equals)] = equals == std::string::npos ? "" : item.substr(equals + 1);
    }
    return result;
}

} // namespace

record::record(const std::string& path) : file(std::fopen(path.c_str(), "w"))
{
    if (file == nullptr) {
        throw std::runtime_error("cannot write " + path);
    }
}

record::~record()
{
    std::fclose(this->file);
}

double record::seconds() const
{
    return std::chrono::duration<double>(steady::now() - this->begin).count();
}

void record::line(const std::string& text)
{
    const std::lock_guard lock(this->mutex);
    std::fprintf(this->file, "%8.3f %s\n", this->seconds(), text.c_str());
    std::fflush(this->file);
}

channel::channel(int descriptor) : fd(descriptor)
{
    const int on = 1;
    ::setsockopt(this->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

channel::~channel()
{
    this->close();
}

void channel::close()
{
    const std::lock_guard lock(this->close_mutex);
    if (!this->is_closed) {
        this->is_closed = true;
        ::shutdown(this->fd, SHUT_RDWR);
        ::close(this->fd);
    }
}

std::unique_ptr<channel> channel::connect(int port, int receive_buffer, int segment_bytes)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receive_buffer > 0) {
        ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    }
    if (segment_bytes > 0) {
        ::setsockopt(descriptor, IPPROTO_TCP, TCP_MAXSEG, &segment_bytes, sizeof segment_bytes);
    }
    const sockaddr_in address = loopback(port);
    if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        const std::string reason = std::strerror(errno);
        ::close(descriptor);
        throw std::runtime_error("cannot connect to port " + std::to_string(port) + ": " + reason);
    }
    return std::make_unique<channel>(descriptor);
}

bool channel::write(const std::string& bytes)
{
    std::size_t done = 0;
    while (done < bytes.size()) {
        const ssize_t count = ::send(this->fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
        if (count <= 0) {
            if (count < 0 && errno == EINTR) {
                continue;
            }
            return false;
        }
        done += static_cast<std::size_t>(count);
    }
    return true;
}

bool channel::fill(std::size_t limit)
{
    std::string bytes(limit, '\0');
    while (true) {
        const ssize_t count = ::recv(this->fd, bytes.data(), bytes.size(), 0);
        if (count > 0) {
            this->buffer.append(bytes, 0, static_cast<std::size_t>(count));
            return true;
        }
        if (count < 0 && errno == EINTR) {
            continue;
        }
        this->end_reason = count == 0 ? "closed" : std::strerror(errno);
        return false;
    }
}

bool channel::wait_readable(milliseconds time)
{
    pollfd waiting{this->fd, POLLIN, 0};
    return ::poll(&waiting, 1, static_cast<int>(time.count())) > 0;
}

std::string request::header(const std::string& name) const
{
    const auto found = this->headers.find(lower(name));
    return found == this->headers.end() ? "" : found->second;
}

std::optional<request> read_request_head(channel& from)
{
    request result;
    std::string line;
    if (!read_line(from, line)) {
        return std::nullopt;
    }
    std::istringstream words(line);
    words >> result.method >> result.target;
    if (!read_headers(from, result.headers)) {
        return std::nullopt;
    }
    return result;
}

bool read_request_body(channel& from, request& into)
{
    if (into.header("Transfer-Encoding") == "chunked") {
        std::string line;
        while (read_line(from, line)) {
            const std::size_t size = std::stoul(line, nullptr, 16);
            while (from.buffer.size() < size + 2) {
                if (!from.fill()) {
                    return false;
                }
            }
            into.body += from.buffer.substr(0, size);
            from.buffer.erase(0, size + 2);
            if (size == 0) {
                return true;
            }
        }
        return false;
    }
    const std::string length = into.header("Content-Length");
    const std::size_t size = length.empty() ? 0 : std::stoul(length);
    while (from.buffer.size() < size) {
        if (!from.fill()) {
            return false;
        }
    }
    into.body = from.buffer.substr(0, size);
    from.buffer.erase(0, size);
    return true;
}

response read_response(channel& from, const std::function<void()>& before_read, std::size_t read_limit)
{
    response result;
    const auto fill = [&] {
        if (before_read) {
            before_read();
        }
        if (!from.fill(read_limit)) {
            result.end_reason = from.end_reason;
            return false;
        }
        return true;
    };
    std::size_t end = 0;
    while ((end = from.buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!fill()) {
            return result;
        }
    }
    std::istringstream lines(from.buffer.substr(0, end));
    from.buffer.erase(0, end + 4);
    std::string line;
    std::getline(lines, line);
    result.status = line.size() > 12 ? std::atoi(line.c_str() + 9) : 0;
    while (std::getline(lines, line)) {
        const auto colon = line.find(':');
        result.headers[lower(line.substr(0, colon))] = trim(line.substr(colon + 1));
    }
    if (result.headers["transfer-encoding"] == "chunked") {
        while (true) {
            while ((end = from.buffer.find("\r\n")) == std::string::npos) {
                if (!fill()) {
                    return result;
                }
            }
            const std::size_t size = std::stoul(from.buffer.substr(0, end), nullptr, 16);
            while (from.buffer.size() < end + 2 + size + 2) {
                if (!fill()) {
                    result.body += from.buffer.substr(end + 2, size);
                    return result;
                }
            }
            result.body += from.buffer.substr(end + 2, size);
            from.buffer.erase(0, end + 2 + size + 2);
            if (size == 0) {
                result.is_complete = true;
                return result;
            }
        }
    }
    const std::string length = result.headers["content-length"];
    const std::size_t size = length.empty() ? 0 : std::stoul(length);
    while (from.buffer.size() < size) {
        if (!fill()) {
            result.body = from.buffer;
            return result;
        }
    }
    result.body = from.buffer.substr(0, size);
    from.buffer.erase(0, size);
    result.is_complete = true;
    return result;
}

server::server(handler serve_to_use, int receive_buffer) : serve(std::move(serve_to_use))
{
    this->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (receive_buffer > 0) {
        ::setsockopt(this->listener, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    }
    sockaddr_in address = loopback(0);
    socklen_t length = sizeof address;
    if (::bind(this->listener, reinterpret_cast<sockaddr*>(&address), length) != 0 ||
        ::listen(this->listener, 1024) != 0) {
        throw std::runtime_error("cannot listen");
    }
    ::getsockname(this->listener, reinterpret_cast<sockaddr*>(&address), &length);
    this->listening_port = ntohs(address.sin_port);
    this->acceptor = std::thread([this] { this->run(); });
}

server::~server()
{
    this->stop();
}

void server::run()
{
    while (!this->is_stopping) {
        const int descriptor = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0) {
            continue;
        }
        auto accepted = std::make_shared<channel>(descriptor);
        const std::lock_guard lock(this->mutex);
        this->open.push_back(accepted);
        this->threads.emplace_back([this, accepted] {
            try {
                this->serve(*accepted);
            }
            catch (const std::exception&) {
                // A malformed message ends the channel.
            }
            accepted->close();
        });
    }
}

void server::stop()
{
    if (this->is_stopping.exchange(true)) {
        return;
    }
    ::shutdown(this->listener, SHUT_RDWR);
    ::close(this->listener);
    this->acceptor.join();
    std::vector<std::thread> ended;
    {
        const std::lock_guard lock(this->mutex);
        for (const auto& connection : this->open) {
            connection->close();
        }
        ended = std::move(this->threads);
    }
    for (std::thread& thread : ended) {
        thread.join();
    }
}

store::store(record& notes_to_use) : notes(notes_to_use)
{
    this->listening = std::make_unique<server>([this](channel& from) { this->serve(from); });
}

void store::stop()
{
    {
        const std::lock_guard lock(this->mutex);
        this->is_stopping = true;
    }
    this->changed.notify_all();
    this->listening->stop();
}

void store::notify(const std::string& kind, const Json::Value& object, bool is_deleted)
{
    this->history.push_back({this->revision, kind, object, is_deleted});
    this->changed.notify_all();
}

std::int64_t store::set(const std::string& kind, const std::string& name, const Json::Value& spec)
{
    const std::lock_guard lock(this->mutex);
    Json::Value& object = this->kinds[kind][name];
    if (object.isNull()) {
        object["metadata"]["name"] = name;
        object["metadata"]["created"] = static_cast<Json::Int64>(this->revision + 1);
        object["metadata"]["finalizers"] = Json::Value(Json::arrayValue);
        object["metadata"]["deletionPending"] = false;
        object["status"] = Json::Value();
    }
    object["spec"] = spec;
    object["metadata"]["revision"] = static_cast<Json::Int64>(++this->revision);
    this->notify(kind, object, false);
    return this->revision;
}

Json::Value store::get(const std::string& kind, const std::string& name)
{
    const std::lock_guard lock(this->mutex);
    const auto found = this->kinds[kind].find(name);
    return found == this->kinds[kind].end() ? Json::Value() : found->second;
}

void store::serve(channel& from)
{
    while (std::optional<request> call = read_request_head(from)) {
        if (!read_request_body(from, *call)) {
            return;
        }
        std::this_thread::sleep_for(store_delay);
        const auto [status, body] = this->answer(*call);
        std::string text = to_text(body);
        for (std::size_t at = 0; (at = text.find(half_pair)) != std::string::npos;) {
            text.replace(at, std::strlen(half_pair), "\\ud83d");
        }
        if (!from.write("HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Type: application/json\r\n" +
                        "Content-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text)) {
            return;
        }
    }
}

std::pair<int, Json::Value> store::answer(const request& call)
{
    const auto mark = call.target.find('?');
    std::vector<std::string> path;
    std::istringstream parts(call.target.substr(1, mark == std::string::npos ? mark : mark - 1));
    std::string part;
    while (std::getline(parts, part, '/')) {
        path.push_back(part);
    }
    std::map<std::string, std::string> query =
        parse_query(mark == std::string::npos ? "" : call.target.substr(mark + 1));
    if (path.size() < 2 || path[0] != "objects") {
        return {404, Json::Value(Json::objectValue)};
    }
    if (call.method != "GET") {
        return this->write(call, path);
    }
    if (query.contains("watch")) {
        return this->watch(path[1], std::stoll(query["watch"]),
                           milliseconds(query.contains("waitMs") ? std::stoll(query["waitMs"]) : 0));
    }
    const std::lock_guard lock(this->mutex);
    if (path.size() == 3) {
        const auto found = this->kinds[path[1]].find(path[2]);
        return found == this->kinds[path[1]].end()
                   ? std::pair<int, Json::Value>{404, Json::Value(Json::objectValue)}
                   : std::pair<int, Json::Value>{200, found->second};
    }
    Json::Value list;
    list["items"] = Json::Value(Json::arrayValue);
    for (const auto& [name, object] : this->kinds[path[1]]) {
        list["items"].append(object);
    }
    list["hasMore"] = false;
    list["at"] = static_cast<Json::Int64>(this->revision);
    return {200, list};
}

std::pair<int, Json::Value> store::watch(const std::string& kind, std::int64_t after, milliseconds wait)
{
    const auto deadline = steady::now() + wait;
    std::unique_lock lock(this->mutex);
    Json::Value batch;
    batch["events"] = Json::Value(Json::arrayValue);
    while (true) {
        for (const event& entry : this->history) {
            if (entry.kind == kind && entry.revision > after) {
                Json::Value item;
                item["deleted"] = entry.is_deleted;
                item["object"] = entry.object;
                batch["events"].append(item);
            }
        }
        if (!batch["events"].empty() || this->is_stopping ||
            this->changed.wait_until(lock, deadline) == std::cv_status::timeout) {
            break;
        }
    }
    batch["at"] = static_cast<Json::Int64>(this->revision);
    return {200, batch};
}

std::pair<int, Json::Value> store::write(const request& call, const std::vector<std::string>& path)
{
    const Json::Value body = parse(call.body);
    const Json::Value& metadata = body["metadata"];
    const std::string name = path.size() > 2 ? path[2] : metadata["name"].asString();
    const std::lock_guard lock(this->mutex);
    auto& objects = this->kinds[path[1]];
    const auto found = objects.find(name);
    if (call.method == "POST") {
        if (found != objects.end()) {
            return {409, found->second};
        }
        Json::Value object;
        object["metadata"]["name"] = name;
        object["metadata"]["created"] = static_cast<Json::Int64>(this->revision + 1);
        object["metadata"]["finalizers"] = Json::Value(Json::arrayValue);
        object["metadata"]["deletionPending"] = false;
        object["metadata"]["revision"] = static_cast<Json::Int64>(++this->revision);
        object["spec"] = body["spec"];
        object["status"] = Json::Value();
        objects[name] = object;
        this->notify(path[1], object, false);
        return {200, object};
    }
    if (found == objects.end()) {
        return {404, Json::Value(Json::objectValue)};
    }
    Json::Value& object = found->second;
    if (metadata.isMember("revision") && metadata["revision"] != object["metadata"]["revision"]) {
        return {409, object};
    }
    if (call.method == "DELETE") {
        const Json::Value removed = object;
        objects.erase(found);
        ++this->revision;
        this->notify(path[1], removed, true);
        return {200, removed};
    }
    const char* const member = path.size() > 3 && path[3] == "status" ? "status" : "spec";
    if (object[member] != body[member]) {
        object[member] = body[member];
        object["metadata"]["revision"] = static_cast<Json::Int64>(++this->revision);
        this->notify(path[1], object, false);
    }
    return {200, object};
}

engine::engine(store& platform_to_use, record& notes_to_use, engine_options options_to_use,
               engine_script script_to_use)
    : options(std::move(options_to_use)), platform(platform_to_use), notes(notes_to_use),
      script(std::move(script_to_use)),
      born(std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
               .count())
{
    this->listening = std::make_unique<server>([this](channel& from) {
        while (std::optional<request> received = read_request_head(from)) {
            if (!this->options.reads_body_itself && !read_request_body(from, *received)) {
                return;
            }
            const std::string expected = received->header("X-Samphireway-Sw-Expect-Instance");
            if (!expected.empty() && expected != this->options.id) {
                from.write("HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n"
                           "X-Samphireway-Sw-Attempt-Id: " +
                           received->header("X-Samphireway-Sw-Attempt-Id") +
                           "\r\nX-Samphireway-Sw-Instance: " + this->options.id + "\r\n\r\n");
                continue;
            }
            this->notes.line("engine " + this->options.id + " begins " +
                             received->header("X-Samphireway-Sw-Attempt-Id") + " " + received->method + " " +
                             received->target);
            if (!this->script(from, *received)) {
                return;
            }
        }
    }, this->options.receive_buffer);
    this->platform.set("servers", this->options.id, this->entry());
}

Json::Value engine::entry(const std::string& state) const
{
    Json::Value entry;
    entry["service"] = this->options.service;
    entry["address"] = "127.0.0.1:" + std::to_string(this->listening->port());
    entry["zone"] = this->options.zone;
    entry["version"] = this->options.version;
    entry["slots"] = this->options.slots;
    entry["state"] = state;
    entry["coldLeftMs"] = 0;
    entry["sequence"] = 1;
    entry["born"] = static_cast<Json::Int64>(this->born);
    return entry;
}

std::string head_of_success(const request& received, const std::string& content_type)
{
    return "HTTP/1.1 200 OK\r\nContent-Type: " + content_type +
           "\r\nX-Samphireway-Sw-Attempt-Id: " + received.header("X-Samphireway-Sw-Attempt-Id") +
           "\r\nX-Samphireway-Sw-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n";
}

std::string event_text(int id, std::size_t bytes)
{
    const std::string begin = "id: " + std::to_string(id) + "\ndata: ";
    return begin + std::string(bytes > begin.size() + 2 ? bytes - begin.size() - 2 : 1, 'x') + "\n\n";
}

std::string chunk(const std::string& bytes)
{
    char size[32];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}

int free_port()
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = loopback(0);
    socklen_t length = sizeof address;
    ::bind(descriptor, reinterpret_cast<sockaddr*>(&address), length);
    ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &length);
    ::close(descriptor);
    return ntohs(address.sin_port);
}

std::string repository_root()
{
    const char* const given = std::getenv("REPOSITORY_ROOT");
    return given == nullptr ? "." : given;
}

bool has_trouble()
{
    const char* const given = std::getenv("TROUBLE");
    return given == nullptr || std::string(given) != "0";
}

std::string temporary_folder()
{
    const char* const given = std::getenv("REVIEW_FOLDER");
    if (given == nullptr) {
        throw std::runtime_error("REVIEW_FOLDER is not set; start the case with its run.sh");
    }
    return given;
}

node::node(record& notes_to_use, std::string name_to_use, std::string zone_to_use, int store_port_to_use,
           std::string folder_to_use)
    : name(std::move(name_to_use)), ports{free_port(), free_port(), free_port()}, notes(notes_to_use),
      zone(std::move(zone_to_use)), store_port(store_port_to_use), folder(std::move(folder_to_use))
{
}

node::~node()
{
    if (this->process > 0) {
        ::kill(this->process, SIGKILL);
        ::waitpid(this->process, nullptr, 0);
    }
}

void node::start()
{
    const std::string settings = this->folder + "/" + this->name + ".json";
    const auto address = [](int port) { return "\"127.0.0.1:" + std::to_string(port) + "\""; };
    // deploy/node.json.template, filled in.
    std::ofstream(settings) << "{\n    \"node\": {\"id\": \"" << this->name << "\", \"availability_zone\": \""
                            << this->zone << "\",\n        \"cpu_share\": 0.25, \"link_mbps\": 1000.0},\n"
                            << "    \"listen\": {\"requesters\": " << address(this->ports.front)
                            << ", \"probes\": " << address(this->ports.readiness)
                            << ",\n        \"internal\": " << address(this->ports.internal) << "},\n"
                            << "    \"object_api\": {\"address\": " << address(this->store_port) << "},\n"
                            << "    \"rollouts\": { \"exposure_share\": 0.1,\n        \"exposure_slack\": 54 },\n"
                            << "    \"stop\": {\"grace_ms\": 8000}\n}\n";
    const std::string log = this->folder + "/" + this->name + ".log";
    const std::string root = repository_root();
    const pid_t child = ::fork();
    if (child == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL); // The node ends with the case, also if that is killed.
        ::setenv("SAMPHIREWAY_BOOT", settings.c_str(), 1);
        const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(out, 1);
        ::dup2(out, 2);
        if (::chdir(root.c_str()) != 0) {
            ::_exit(127);
        }
        ::execl("target/samphireway", "target/samphireway", "gateway", "--settings-variable", "SAMPHIREWAY_BOOT",
                nullptr);
        ::_exit(127);
    }
    this->process = child;
    this->notes.line("node " + this->name + " started");
}

bool node::wait_ready(milliseconds time)
{
    const auto deadline = steady::now() + time;
    while (steady::now() < deadline) {
        try {
            const auto probe = channel::connect(this->ports.readiness);
            probe->write("GET /readiness HTTP/1.1\r\nHost: node\r\n\r\n");
            if (probe->wait_readable(milliseconds(500)) && read_response(*probe).status == 200) {
                return true;
            }
        }
        catch (const std::exception&) {
            // Not listening yet.
        }
        std::this_thread::sleep_for(milliseconds(50));
    }
    return false;
}

bool node::is_running()
{
    if (this->process <= 0) {
        return false;
    }
    int status = 0;
    if (::waitpid(this->process, &status, WNOHANG) == 0) {
        return true;
    }
    this->notes.line("node " + this->name + " ended, " +
                     (WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                          : "exit code " + std::to_string(WEXITSTATUS(status))));
    this->process = 0;
    return false;
}

void node::signal(int number)
{
    this->notes.line("signal " + std::to_string(number) + " to node " + this->name);
    if (this->process > 0) {
        ::kill(this->process, number);
    }
}

void node::await_end(milliseconds time)
{
    const auto deadline = steady::now() + time;
    while (this->is_running()) {
        if (steady::now() >= deadline) {
            this->signal(SIGKILL);
            ::waitpid(this->process, nullptr, 0);
            this->process = 0;
            return;
        }
        std::this_thread::sleep_for(milliseconds(5));
    }
}

Json::Value small_configuration(int version)
{
    const auto route = [](const char* name, const char* prefix, const char* kind, int timeout, int target,
                          int priority, const char* service, int attempts) {
        Json::Value entry;
        entry["name"] = name;
        entry["host"] = "desk.example";
        entry["pathPrefix"] = prefix;
        entry["kind"] = kind;
        entry["timeoutMs"] = timeout;
        entry["targetLatencyMs"] = target;
        entry["priority"] = priority;
        entry["service"] = service;
        entry["maxAttempts"] = attempts;
        entry["anonymous"] = false;
        return entry;
    };
    Json::Value config;
    config["version"] = version;
    Json::Value chat = route("chat", "/chat/", "stream", 12000, 500, 0, "quoting", 2);
    chat["sticky"] = true;
    chat["canResume"] = true;
    chat["gapAimMs"] = 400;
    Json::Value quote = route("quote", "/quote/", "stream", 4000, 600, 1, "quoting", 1);
    quote["sticky"] = true;
    quote["canResume"] = false;
    quote["gapAimMs"] = 400;
    config["routes"].append(chat);
    config["routes"].append(quote);
    config["routes"].append(route("order", "/order/", "unsafe", 4000, 300, 2, "desk", 1));
    config["routes"].append(route("status", "/status/", "safe", 4000, 300, 2, "desk", 2));
    Json::Value quoting;
    quoting["name"] = "quoting";
    quoting["healthPath"] = "/health";
    quoting["maxConnections"] = 360;
    quoting["engine"]["slots"] = 64;
    quoting["engine"]["kvCapacity"] = 438927;
    quoting["engine"]["stride"] = 6;
    Json::Value desk;
    desk["name"] = "desk";
    desk["healthPath"] = "/health";
    desk["maxConnections"] = 100;
    config["services"].append(quoting);
    config["services"].append(desk);
    config["limits"]["headerBytes"] = 16384;
    config["limits"]["bodyBytes"] = 4194304;
    config["limits"]["headerTimeoutMs"] = 3000;
    config["limits"]["idleTimeoutMs"] = 15000;
    Json::Value tenant;
    tenant["name"] = "coop";
    tenant["apiKeys"].append("key-one");
    tenant["priority"] = 1;
    tenant["prepaid"] = 10394207;
    config["tenants"].append(tenant);
    return config;
}

std::string request_text(const request_options& options)
{
    std::string text = options.method + " " + options.path + " HTTP/1.1\r\nHost: desk.example\r\n" +
                       "X-Samphireway-Sw-Attempt-Id: " + options.attempt_id + "\r\n" +
                       "X-Samphireway-Sw-Deadline-Ms: " + std::to_string(options.deadline_ms) + "\r\n";
    if (!options.usage.empty()) {
        text += "X-Samphireway-Sw-Model: m\r\nX-Samphireway-Sw-Token-Usage: " + options.usage +
                "\r\nX-Samphireway-Sw-Prefix-Hash: " + options.prompt + "\r\n";
    }
    text += "Authorization: Bearer " + options.key + "\r\n";
    if (options.method != "GET") {
        text += "Content-Length: " + std::to_string(options.body.size()) + "\r\n";
    }
    return text + "\r\n" + options.body;
}

} // namespace stage
