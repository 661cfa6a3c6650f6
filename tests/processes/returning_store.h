#pragma once

#include "stage.hh"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <json/json.h>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <string>

namespace samphireway::testing {

/**
    A stand-in of the platform's store that can be away and come back from a copy of an earlier moment.

    After such a return the changes since the copy are lost, their revisions are given out again, and all
    answers name a higher generation (`Store-Era`). A watch from a revision that does not exist gets 410.
*/
class returning_store {
public:
    using kinds = std::map<std::string, std::map<std::string, Json::Value>>;

    returning_store() = default;
    ~returning_store();
    returning_store(const returning_store&) = delete;
    returning_store& operator=(const returning_store&) = delete;

    int port() const
    {
        return this->front.port();
    }

    /** Writes an object as an operator or an upstream does. Returns the revision. */
    std::int64_t set(const std::string& kind, const std::string& name, const Json::Value& spec);

    /** Removes an object, as when an upstream has left. */
    void remove(const std::string& kind, const std::string& name);

    /** Writes a number of objects that mean nothing to the nodes. */
    void add_changes(int count);

    /** Keeps a copy of what is stored now. */
    void copy();

    /** Ends waiting calls, and closes each connection that is used until the store is back. */
    void go_away();

    /** Takes over the copy. @pre the store is away */
    void restore_copy();

    void come_back();

    /** Cuts off each watch that waits longer than a time drawn between these two. */
    void cut_watches(std::chrono::milliseconds least, std::chrono::milliseconds most);

    /** Returns the number of watches that were cut off. */
    int count_cut();

    /** Ends waiting calls and closes all connections. */
    void stop();

    bool holds(const std::string& kind, const std::string& name);

    /** Returns the number of calls that were answered with a status. */
    int count_answered(int status);

private:
    struct event {
        std::int64_t revision;
        std::string kind;
        Json::Value object;
        bool is_deleted;
    };

    struct reply {
        int status = 200;
        Json::Value body{Json::objectValue};
    };

    bool is_reachable();
    void serve(stage::channel& from);
    /** Returns nothing if the connection is to be closed without an answer. */
    std::optional<reply> answer(const stage::request& call);
    std::optional<reply> watch(const std::string& kind, std::int64_t after, std::chrono::milliseconds wait);
    reply write(const stage::request& call, const std::vector<std::string>& path);
    Json::Value& store(const std::string& kind, const std::string& name, const char* member,
                       const Json::Value& value);

    std::mutex mutex;
    std::condition_variable changed;
    bool is_away = false;
    bool is_stopping = false;
    std::int64_t generation = 1;
    std::int64_t revision = 1000;
    kinds objects;
    std::deque<event> history;
    std::int64_t copied_revision = 0;
    kinds copied_objects;
    std::deque<event> copied_history;
    std::map<int, int> answered;
    std::optional<std::uniform_int_distribution<int>> watch_limit; ///< In ms, once watches are cut off.
    std::mt19937 random{1};
    int cut = 0;
    stage::server front{[this](stage::channel& from) {
        this->serve(from);
    }};
};

} // namespace samphireway::testing
