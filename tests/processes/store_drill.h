#pragma once

#include "processes/gateway_process.h"
#include "processes/returning_store.h"
#include "stage.hh"

#include <atomic>
#include <chrono>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace samphireway::testing {

/** Returns the program of a node: for every second one another build, if SAMPHIREWAY_TEST_OTHER_PROGRAM names
 * it, so that a fleet in the middle of an upgrade can be tested. The seed decides which ones. */
std::string program_of(int index);

/** Returns the seed of this run; 1 unless SAMPHIREWAY_TEST_SEED names another. */
int drill_seed();

/** An upstream of the service `desk` whose entry the test writes, and the times at which requests reach it.
 */
class drill_upstream {
public:
    drill_upstream(stage::store& registry, stage::record& notes, const std::string& id_to_use);

    /** Returns the entry of a process that started `restarts` times after the first one. */
    Json::Value entry(const std::string& state, int restarts = 0) const;

    /** Returns the number of requests that arrived after a time. */
    int arrivals_after(stage::steady::time_point time);

    void stop();

    const std::string id;

private:
    std::mutex mutex;
    std::vector<stage::steady::time_point> arrivals;
    stage::engine served;
};

/** Nodes under load, two upstreams, and a store that comes back from a copy. */
class store_drill {
public:
    /** @param node_count a fleet of three or more has a relay */
    explicit store_drill(int node_count = 1);
    ~store_drill();
    store_drill(const store_drill&) = delete;
    store_drill& operator=(const store_drill&) = delete;

    /** Sends requests to all nodes until the object is destroyed. @pre the nodes are ready */
    void start_load();

    void write(const drill_upstream& upstream, const std::string& state, int restarts = 0);

    /** Lets the store be away and come back from the copy. `before_return` may change what it holds then. */
    void return_from_copy(const std::function<void()>& before_return = [] {});

    /** Returns the ends of all nodes' logs. */
    std::string describe() const;

    const temporary_directory directory;
    returning_store store;
    std::vector<std::unique_ptr<gateway_process>> nodes;
    std::atomic<int> sent{0};
    std::atomic<int> served{0};

private:
    stage::record notes{this->directory.path + "/record.txt"};
    stage::store registry{this->notes}; ///< Where the stand-ins of upstreams register; no node reads it.

public:
    drill_upstream first{this->registry, this->notes, "i-first"};
    drill_upstream second{this->registry, this->notes, "i-second"};

private:
    void send_requests(const gateway_process& node);

    std::atomic<bool> is_over{false};
    std::vector<std::thread> load;
};

} // namespace samphireway::testing
