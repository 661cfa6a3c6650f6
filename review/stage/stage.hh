// Stand-ins of the platform's store, of engines and of requesters, for the cases of the review.
//
// Every address is a loopback address. The store and the engines run as threads of the case's process; the
// nodes run as processes of their own, started with the command of deploy/system.toml.
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <json/json.h>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace stage {

using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

/** Writes lines with the time since the start to record.txt. */
class record {
public:
    explicit record(const std::string& path);
    ~record();
    void line(const std::string& text);
    double seconds() const;

private:
    std::mutex mutex;
    FILE* file;
    const steady::time_point begin = steady::now();
};

/** A TCP connection with buffered reading. */
class channel {
public:
    explicit channel(int descriptor);
    ~channel();
    channel(const channel&) = delete;
    channel& operator=(const channel&) = delete;

    /** Connects to a loopback port. Throws if that fails. */
    static std::unique_ptr<channel> connect(int port, int receive_buffer = 0, int segment_bytes = 0);

    bool write(const std::string& bytes);
    /** Reads more bytes into the buffer, at most `limit`. Returns false at the end or after a failure. */
    bool fill(std::size_t limit = 65536);
    /** Waits until bytes can be read. Returns false after the time. */
    bool wait_readable(milliseconds time);
    void close();

    const int fd;
    std::string buffer;
    std::string end_reason; ///< Why `fill` returned false.

private:
    bool is_closed = false;
    std::mutex close_mutex;
};

struct request {
    std::string method;
    std::string target;
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;

    std::string header(const std::string& name) const;
};

struct response {
    int status = 0;
    std::map<std::string, std::string> headers;
    std::string body;
    bool is_complete = false;
    std::string end_reason;
};

/** Reads a request's head; the body follows with `read_body`. */
std::optional<request> read_request_head(channel& from);
bool read_request_body(channel& from, request& into);

/** Reads a response. `before_read` is called before each read, and may wait to read slowly. */
response read_response(channel& from, const std::function<void()>& before_read = {},
                       std::size_t read_limit = 65536);

/** Accepts connections on a loopback port and serves each with a thread. */
class server {
public:
    using handler = std::function<void(channel&)>;
    explicit server(handler serve, int receive_buffer = 0);
    ~server();
    void stop();
    int port() const { return this->listening_port; }

private:
    void run();

    handler serve;
    int listener;
    int listening_port;
    std::atomic<bool> is_stopping{false};
    std::mutex mutex;
    std::vector<std::shared_ptr<channel>> open;
    std::vector<std::thread> threads;
    std::thread acceptor;
};

/** The platform's object store. */
class store {
public:
    explicit store(record& notes);

    int port() const { return this->listening->port(); }
    /** Writes an object as an operator or an engine does. Returns the revision. */
    std::int64_t set(const std::string& kind, const std::string& name, const Json::Value& spec);
    Json::Value get(const std::string& kind, const std::string& name);
    void stop();

    /** A text of a spec that the store's answers hold as the escape of one half of a surrogate pair. */
    static constexpr const char* half_pair = "@half-of-a-pair@";

private:
    struct event {
        std::int64_t revision;
        std::string kind;
        Json::Value object;
        bool is_deleted;
    };

    void serve(channel& from);
    std::pair<int, Json::Value> answer(const request& call);
    std::pair<int, Json::Value> watch(const std::string& kind, std::int64_t after, milliseconds wait);
    std::pair<int, Json::Value> write(const request& call, const std::vector<std::string>& path);
    void notify(const std::string& kind, const Json::Value& object, bool is_deleted);

    record& notes;
    std::mutex mutex;
    std::condition_variable changed;
    std::int64_t revision = 100;
    bool is_stopping = false;
    std::map<std::string, std::map<std::string, Json::Value>> kinds;
    std::deque<event> history;
    std::unique_ptr<server> listening;
};

/** What an engine does with a request; it writes its own response. Returns false to close the channel. */
using engine_script = std::function<bool(channel& to, request& received)>;

struct engine_options {
    std::string id;
    std::string service;
    std::string zone = "toto";
    std::string version = "v1";
    int slots = 64;
    int receive_buffer = 0;         ///< Of each channel, in bytes; 0 for the default.
    bool reads_body_itself = false; ///< The script reads the body.
};

/** An engine; it registers itself in the store. */
class engine {
public:
    engine(store& platform, record& notes, engine_options options, engine_script script);
    Json::Value entry(const std::string& state = "ready") const;
    void stop() { this->listening->stop(); }
    int port() const { return this->listening->port(); }
    const engine_options options;

private:
    store& platform;
    record& notes;
    engine_script script;
    const std::int64_t born;
    std::unique_ptr<server> listening;
};

std::string head_of_success(const request& received, const std::string& content_type);
std::string event_text(int id, std::size_t bytes);
std::string chunk(const std::string& bytes);

struct node_ports {
    int front;
    int readiness;
    int internal;
};

/** A node: the project's program as a process. */
class node {
public:
    node(record& notes, std::string name, std::string zone, int store_port, std::string folder);
    ~node();
    void start();
    bool wait_ready(milliseconds time);
    bool is_running();
    void signal(int number);
    /** Waits until the process has ended; kills it after the time. */
    void await_end(milliseconds time);

    const std::string name;
    const node_ports ports;

private:
    record& notes;
    const std::string zone;
    const int store_port;
    const std::string folder;
    std::atomic<pid_t> process{0};
};

int free_port();
std::string repository_root();
bool has_trouble();
/** Returns the folder that run.sh made for settings and logs, and removes afterwards. */
std::string temporary_folder();

/** The configuration of a small deployment: a stream route, a second one, an unsafe one and a safe one. */
Json::Value small_configuration(int version = 7);

struct request_options {
    std::string path;
    std::string method = "POST";
    std::string attempt_id;
    int deadline_ms = 12000;
    std::string key = "key-one";
    std::string usage;  ///< TOKENS_IN,TOKENS_OUT; empty for a plain request
    std::string prompt; ///< ID:TOKENS,...
    std::string body;
};

std::string request_text(const request_options& options);

} // namespace stage
