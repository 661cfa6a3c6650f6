#pragma once

#include "engine/engine_job.h"
#include "engine/engine_orders.h"
#include "engine/prefix_cache.h"
#include "faults/fault_switch.h"
#include "traffic/server/front_server.h"

#include <atomic>
#include <memory>
#include <string>

namespace samphireway::standin {

/** Options of an engine stand-in. @see engine_standin */
struct engine_standin_options {
    std::string address = "127.0.0.1";
    int port = 0;
    std::string model;
    std::string version;
    batch_limits limits;
    std::int64_t cache_tokens = 1 << 18; ///< Capacity of the prefix cache in tokens.
    std::chrono::microseconds token_interval{20000};
    std::chrono::microseconds prefill_per_token{0};
    std::shared_ptr<weight_store> weights = std::make_shared<weight_store>();
};

/**
    Stand-in for a model engine with continuous batching, a prefix cache, priorities, cancels and orders.

    Each running stream produces one token per `token_interval`. `PUT /faults` switches the faults
    listed in `initial_engine_faults`. `GET /counters` returns the engine's own counters.

    @see engine_batch, prefix_cache, engine_orders
*/
class engine_standin {
public:
    explicit engine_standin(engine_standin_options options);

    /** Starts serving HTTP. Fails when the port cannot be used. */
    core::result<void> start();

private:
    void add_routes();
    void add_control_routes(httplib::Server& server);
    void handle_completion(const httplib::Request& request, httplib::Response& response);
    std::shared_ptr<engine_job> make_job(const httplib::Request& request, const Json::Value& body);
    bool join(engine_job& job, const Json::Value& messages, httplib::Response& response);
    void answer_in_one_response(const std::shared_ptr<engine_job>& job, httplib::Response& response);
    void answer_streaming(const std::shared_ptr<engine_job>& job, httplib::Response& response);
    bool write_token(engine_job& job, httplib::DataSink& sink);
    void write_end(engine_job& job, httplib::DataSink& sink);
    bool wait_for_token(engine_job& job);
    bool is_aborted(const engine_job& job) const;
    void add_usage(engine_job& job, Json::Value& json) const;

    const engine_standin_options options;
    fault_switch faults;
    silent_connections silent;
    engine_batch batch;
    prefix_cache cache;
    engine_orders orders;
    job_index jobs;
    std::atomic<std::int64_t> arrivals = 0;
    traffic::front_server http;
};

} // namespace samphireway::standin
