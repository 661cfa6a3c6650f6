#pragma once

#include "processes/gateway_process.h"
#include "processes/returning_store.h"
#include "stage.hh"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace samphireway::testing {

/** Nodes that serve one workspace with prepaid tokens, two upstreams that generate, and a store that comes
 * back from a copy. */
class budget_drill {
public:
    /** Tokens that a request uses, at most and if it is served. */
    static constexpr std::int64_t request_tokens = 9060;

    /** What a requester got from one node. */
    struct outcome {
        std::size_t node = 0;
        stage::steady::time_point sent_at;
        std::chrono::milliseconds taken{0};
        int status = 0;
    };

    /** How often one node has answered with a status. */
    struct node_counts {
        int served = 0;
        int exhausted = 0; ///< Answered 402.
        int others = 0;
    };

    explicit budget_drill(std::int64_t prepaid, std::size_t node_count = 3);

    void start_node();
    ~budget_drill();
    budget_drill(const budget_drill&) = delete;
    budget_drill& operator=(const budget_drill&) = delete;

    /** Waits until all nodes are ready and know each other. */
    void wait_ready();

    /** Sends requests to each node until `stop_load` or the object's end. */
    void start_load(std::chrono::milliseconds interval);
    void stop_load();

    /** Sets the prepaid tokens by a new version of the configuration, without writing it. */
    void raise_prepaid(std::int64_t tokens);
    void write_configuration();

    /** Lets the store be away and come back from the copy. `before_return` may change what it holds then. */
    void return_from_copy(const std::function<void()>& before_return);

    /** Returns the counts of each node for the requests sent since a time. */
    std::vector<node_counts> counts_since(stage::steady::time_point time);

    /** Returns the tokens of all answers so far. */
    std::int64_t delivered();

    /** Returns the ends of all nodes' logs. */
    std::string describe() const;

    const temporary_directory directory;
    returning_store store;
    std::vector<std::unique_ptr<gateway_process>> nodes;

private:
    void send(std::size_t node, int number);

    stage::record notes{this->directory.path + "/record.txt"};
    stage::store registry{this->notes}; ///< Where the stand-ins of upstreams register; no node reads it.
    Json::Value configuration = stage::small_configuration();
    std::vector<std::unique_ptr<stage::engine>> upstreams;
    std::mutex mutex;
    std::vector<outcome> outcomes;
    std::int64_t delivered_tokens = 0;
    std::atomic<bool> is_over{false};
    std::vector<std::thread> load;
};

} // namespace samphireway::testing
