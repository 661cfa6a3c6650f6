#pragma once

#include "support/fake_object_store.h"
#include "support/scripted_engine.h"
#include "traffic/traffic.h"

#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace samphireway::testing {

/**
    Dependencies of an attempt runner: upstreams at the given ports, with load shares from a fake store.
*/
struct runner_fixture {
    explicit runner_fixture(const std::vector<int>& ports, limits::amount agreed = 1000,
                            limits::amount tokens = 0)
    {
        core::initialize_log(core::log_level::error);
        std::vector<limits::agreed_load> loads;
        for (std::size_t index = 0; index < ports.size(); ++index) {
            configuration::upstream upstream;
            upstream.id = "engine-" + std::to_string(index);
            upstream.address = "127.0.0.1";
            upstream.port = ports[index];
            loads.push_back(
                {.upstream = upstream.id, .requests = agreed, .tokens = tokens > 0 ? tokens : agreed});
            this->upstreams.push_back(upstream);
        }
        this->gate.configure(loads, 1);
        for (const limits::agreed_load& load : loads) {
            for (int round = 0; round < 8; ++round) {
                static_cast<void>(this->gate.admit(load.upstream, load.tokens / 8));
            }
        }
        limits::load_controller controller(this->gate, {.store = this->store.hooks(),
                                                        .time = {},
                                                        .run_blocking = [](const auto& work) { work(); },
                                                        .run_control =
                                                            [](const auto& work) {
                                                                work();
                                                            }});
        controller.tick();
    }

    traffic::attempt_services services()
    {
        return traffic::attempt_services{
            .rank =
                [this](const configuration::snapshot&, const routing::route_request& request) {
                    std::vector<routing::upstream_choice> ranked;
                    for (const configuration::upstream& upstream : this->upstreams) {
                        if (!request.excluded.contains(upstream.id)) {
                            ranked.push_back({.upstream = upstream, .model = "m", .version = "1"});
                        }
                    }
                    return ranked;
                },
            .report =
                [this](const std::string&, traffic::call_report report) {
                    const std::lock_guard lock(this->reports_mutex);
                    this->reports.push_back(report);
                },
            .gate = &this->gate,
            .connections = &this->connections,
            .watch = &this->watch,
            .retries = &this->retries,
            .first_byte_timeout = this->answer_timeout,
            .gap_timeout = this->answer_timeout};
    }

    traffic::attempt_progress progress(const std::string& stream = "stream")
    {
        return traffic::attempt_progress{
            .configuration = std::make_shared<configuration::snapshot>(),
            .route = {.workspace = "w", .plan = "p", .model = "m", .estimated_tokens = 1},
            .body = Json::Value(Json::objectValue),
            .request_id = "request",
            .stream_id = stream,
            .deadline = std::chrono::steady_clock::now() + std::chrono::minutes(1)};
    }

    /** Runs a request, stores its text in `text` and returns the outcome. */
    traffic::engine_outcome run(traffic::attempt_progress& progress)
    {
        this->text.clear();
        const traffic::attempt_runner runner(this->services());
        return runner.run(progress, [this](const std::string& piece, std::int64_t) {
            this->text += piece;
            return true;
        });
    }

    std::chrono::milliseconds answer_timeout{10000}; ///< For the first byte and for each gap after it.
    fake_object_store store;
    std::vector<configuration::upstream> upstreams;
    limits::load_gate gate{{.holder = "node"}};
    traffic::connection_pool connections{{.read_timeout = std::chrono::minutes(1)}};
    traffic::deadline_watch watch;
    traffic::retry_budget retries{{}};
    std::mutex reports_mutex; ///< Attempts of several threads report.
    std::vector<traffic::call_report> reports;
    std::string text;
};

} // namespace samphireway::testing
