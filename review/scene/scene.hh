// Stand-ins of the platform's store, of an engine and of requesters, and the start of gateway processes.
// Everything runs on loopback addresses and the real clock.
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
#include <random>
#include <set>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace scene {

using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

/** A case that could not be set up, which says nothing about the rule. */
struct cannot_run {
    std::string reason;
};

/** Writes lines with the time since the start. */
class record {
public:
    explicit record(const std::string& path);
    ~record();
    void line(const std::string& text);
    long long now_ms() const;

private:
    std::mutex mutex;
    std::FILE* file;
    const steady::time_point begin = steady::now();
};

int listen_on_free_port(int& port);

struct message {
    std::string start;                          ///< The first line.
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;
    bool is_complete = false; ///< Whether the body came to its end.

    std::string header(const std::string& name) const;
    int status() const;
    std::string method() const;
    std::string target() const;
};

/** A connected socket with what was read ahead. */
class channel {
public:
    explicit channel(int descriptor_to_use) : descriptor(descriptor_to_use) {}
    ~channel();
    channel(const channel&) = delete;
    channel& operator=(const channel&) = delete;
    static std::unique_ptr<channel> connect(int port);

    bool write(const std::string& bytes);
    /** Reads a request or a response. Returns nothing if the peer closed before the end of the head. */
    std::optional<message> read(bool is_response, milliseconds time = milliseconds(20000));
    /** Resets the connection when it is closed. */
    void reset_on_close();
    void shutdown();
    bool is_closed_by_peer();

private:
    bool fill(steady::time_point deadline);
    const int descriptor;
    std::string buffer;
};

/** Accepts connections and serves each on a thread of its own. */
class server {
public:
    explicit server(std::function<void(channel&)> serve);
    ~server();
    void stop();
    /** Ends all connections. */
    void close_all();
    /** Ends the listener and all connections at once, as the end of a process does. Does not wait. */
    void crash();
    int port = 0;

private:
    void accept_all();
    const std::function<void(channel&)> serve;
    int listener = -1;
    std::atomic<bool> is_stopping{false};
    std::mutex mutex;
    std::set<channel*> open_channels;
    std::atomic<int> running{0};
    std::thread acceptor;
};

/** The platform's store, as PROTOCOL.md tells it, with the drill of the store's pages: it can come back from
 * a copy of what it held earlier. */
class store {
public:
    explicit store(record& notes_to_use);
    ~store();
    /** Writes as the operator or an engine does. Returns the revision. */
    std::int64_t set(const std::string& kind, const std::string& name, const Json::Value& spec);
    void remove(const std::string& kind, const std::string& name);
    Json::Value get(const std::string& kind, const std::string& name);
    void copy();
    void go_away();
    /** Comes back from the copy; `rewrite` writes what the operator and the engines write again. */
    void come_back(const std::function<void()>& rewrite);
    /** Cuts off each watch that waits longer than a random time between these two. */
    void cut_watches(milliseconds least, milliseconds most);
    int port() const
    {
        return this->front.port;
    }
    void stop();

private:
    struct event {
        std::int64_t revision = 0;
        std::string kind;
        Json::Value object;
        bool is_deleted = false;
    };
    struct state {
        std::int64_t revision = 100;
        std::map<std::string, std::map<std::string, Json::Value>> objects;
        std::deque<event> history;
    };
    void serve(channel& from);
    int answer(const message& call, Json::Value& body);
    int watch(const std::string& kind, std::int64_t after, milliseconds wait, Json::Value& body);
    Json::Value& put(const std::string& kind, const std::string& name, const char* member,
                     const Json::Value& value);

    record& notes;
    std::mutex mutex;
    std::condition_variable changed;
    state held;
    state copied;
    int era = 1;
    bool is_away = false;
    bool is_stopping = false;
    milliseconds least_watch{30000};
    milliseconds longest_watch{30000};
    std::mt19937 random{48};
    server front;
};

/** An engine or a plain server that registers itself. */
class engine {
public:
    struct options {
        std::string id;
        std::string service;
        int slots = 64;
        int events = 10;           ///< Of a stream.
        milliseconds event_gap{5}; ///< Between two events.
        bool is_framed = true;     ///< Whether answers come in chunks; else they end with their channel.
        std::string deadly_part;   ///< Part of a prompt that crashes the engine when it begins to write.
        bool crashes_before_head = false; ///< Whether it crashes before the head of that answer is out.
        bool is_plain = false;            ///< Whether it is a plain server, with short whole answers.
        milliseconds work{20};            ///< Of a plain server's request.
        std::function<void()> on_run = {};
        std::function<void()> on_deadly_arrival = {};
        std::function<void()> on_crash = {};
    };
    engine(record& notes_to_use, options options_to_use);
    Json::Value entry(const std::string& state) const;
    const options setup;
    std::atomic<int> runs{0};

private:
    void serve(channel& from);
    record& notes;
    const std::int64_t born;

public:
    server front; ///< Last, since it serves from its construction on.
};

/** A gateway process, started with the command of the deploy file and settings from its template. */
class node {
public:
    node(const std::string& id_to_use, int store_port, const std::string& directory_to_use);
    ~node();
    void start();
    void signal(int number);
    void wait_end();
    void wait_ready(milliseconds time);
    bool is_running();
    const std::string id;
    int front = 0;
    int probes = 0;
    int internal = 0;

private:
    const std::string directory;
    pid_t process = 0;
};

struct request {
    std::string id;
    std::string path;
    std::string key;
    int prompt_tokens = 0;
    int output_tokens = 0;
    int deadline_ms = 4000;
    bool is_plain = false; ///< Of a plain service, without a prompt.
    std::string parts;     ///< Of the prompt; two parts if empty, of which the last is the request's own.
};

std::string request_text(const request& sent);

/** Number of events in a stream's body. */
int count_events(const std::string& body);

/** @param has_desk whether there is a plain service with a safe route beside the engines' */
Json::Value make_config(int version, std::int64_t prepaid, int stride, bool has_desk = false);

bool has_trouble();

} // namespace scene
