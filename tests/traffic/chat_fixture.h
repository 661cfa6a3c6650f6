#pragma once

#include "traffic/runner_fixture.h"

#include <algorithm>
#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace samphireway::testing {

/** A chat handler behind a real HTTP server on a loopback port, with engines at the given ports. */
struct chat_fixture {
    explicit chat_fixture(const std::vector<int>& ports,
                          std::chrono::milliseconds write_timeout = std::chrono::minutes(1),
                          traffic::reader_memory_options memory_options = {},
                          traffic::drain_gate* gate = nullptr, limits::amount agreed = 100000)
        : fixture(ports, agreed, 100000), memory(memory_options), stop_gate(gate)
    {
        this->fixture.answer_timeout = std::chrono::minutes(1);
        const configuration::plan shop{
            .id = "shop", .workspace = "shop", .key_hashes = {core::sha256_hex("secret")}};
        const auto plans = std::make_shared<configuration::plan_shard>(
            std::map<std::string, configuration::plan>{{"shop", shop}});
        const auto access = std::make_shared<configuration::access_shard>(
            std::map<std::string, std::vector<configuration::access_entry>>{{"shop", {{.model = "m"}}}});
        auto list = std::make_shared<configuration::upstream_list>();
        for (configuration::upstream& upstream : this->fixture.upstreams) {
            upstream.models = {{.model = "m", .version = "1"}};
            list->upstreams[upstream.id] = upstream;
        }
        this->snapshot = std::make_shared<configuration::snapshot>(
            configuration::snapshot{.plan_shards = {plans}, .access_shards = {access}, .upstreams = list});
        this->fund();
        this->handler = std::make_unique<traffic::chat_handler>(this->chat_services());
        this->server.set_write_timeout(write_timeout);
        this->server.set_tcp_nodelay(true);
        this->server.new_task_queue = [] {
            return new httplib::ThreadPool(64);
        };
        this->server.Post("/v1/chat/completions",
                          [this](const httplib::Request& request, httplib::Response& response) {
                              this->handler->handle(request, response);
                          });
        this->port = this->server.bind_to_any_port("127.0.0.1");
        this->thread = std::thread([this] { this->server.listen_after_bind(); });
        while (!this->server.is_running()) {
            std::this_thread::yield();
        }
    }
    chat_fixture(const chat_fixture&) = delete;
    chat_fixture& operator=(const chat_fixture&) = delete;

    ~chat_fixture()
    {
        this->server.stop();
        this->thread.join();
        this->streams.shutdown();
        this->is_over = true;
        this->ticker.join();
    }

    traffic::chat_services chat_services()
    {
        return traffic::chat_services{
            .configuration = [this] { return this->snapshot; },
            .run_stream =
                [this](std::function<void()> work) { return this->streams.submit(std::move(work)); },
            .begin_request = [this]() -> std::shared_ptr<void> {
                return this->stop_gate == nullptr ? std::make_shared<int>(0)
                                                  : this->stop_gate->begin_request();
            },
            .observe =
                [this](const traffic::request_outcome& outcome) {
                    const std::lock_guard lock(this->mutex);
                    this->outcomes.push_back(outcome);
                },
            .grant_pool = &this->grant_pool,
            .memory = &this->memory,
            .attempts = this->fixture.services(),
            .limits = {}};
    }

    /** Returns the request body of one call. */
    static std::string body(bool is_streaming, int max_tokens = 16)
    {
        Json::Value json;
        json["model"] = "m";
        json["max_tokens"] = max_tokens;
        json["stream"] = is_streaming;
        json["messages"][0]["role"] = "user";
        json["messages"][0]["content"] = "a wheel";
        return core::write_json(json);
    }

    std::unique_ptr<httplib::Client> client() const
    {
        auto caller = std::make_unique<httplib::Client>("127.0.0.1", this->port);
        caller->set_read_timeout(std::chrono::minutes(1));
        caller->set_default_headers({{"Authorization", "Bearer shop.secret"}});
        return caller;
    }

    /** Returns whether `requests` requests have ended and no slot or reader memory is still in use. */
    bool is_clean(std::size_t requests) const
    {
        const std::vector<limits::share_status> shares = this->fixture.gate.status();
        const bool has_slots =
            std::any_of(shares.begin(), shares.end(), [](const limits::share_status& share) {
                return share.in_use[0] != 0 || share.in_use[1] != 0;
            });
        const std::lock_guard lock(this->mutex);
        return !has_slots && this->memory.held() == 0 && this->outcomes.size() == requests;
    }

    /** Waits until `is_clean`; the time limit of the test runner ends a wait that does not succeed. */
    void wait_until_clean(std::size_t requests) const
    {
        while (!this->is_clean(requests)) {
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
    }

    /** Returns the text of an answer, streamed or as one document, and whether it is complete. */
    static std::pair<std::string, bool> read_answer(const std::string& body, bool is_streaming)
    {
        if (!is_streaming) {
            const core::result<Json::Value> json = core::parse_json(body);
            return json ? std::pair((*json)["choices"][0]["message"]["content"].asString(), true)
                        : std::pair(std::string(), false);
        }
        std::string text;
        bool is_whole = false;
        traffic::event_decoder decoder;
        decoder.feed(body, [&](const std::string& data) {
            is_whole = data == "[DONE]";
            if (!is_whole) {
                text += core::string_member((*core::parse_json(data))["choices"][0]["delta"], "content");
            }
            return true;
        });
        return {text, is_whole};
    }

    static constexpr escrow::amount budgeted = 1000000;
    runner_fixture fixture;
    std::shared_ptr<const configuration::snapshot> snapshot;
    budget::grant_pool grant_pool{{.holder = "node", .draw = {}}};
    traffic::reader_memory memory;
    traffic::drain_gate* stop_gate = nullptr;
    budget::budget_controller budgets{this->grant_pool,
                                      {.store = this->fixture.store.hooks(),
                                       .time = {},
                                       .run_blocking = [](const auto& work) { work(); },
                                       .run_control =
                                           [](const auto& work) {
                                               work();
                                           }}};
    core::worker_pool streams{{.maximum_threads = 64}};
    std::unique_ptr<traffic::chat_handler> handler;
    int port = 0;

private:
    /** Deposits the plan's budget and starts a thread that draws grants like the control thread. */
    void fund()
    {
        escrow::ledger_client ledger(budget::grant_pool::object_key(this->grant_pool.shard_of("shop")));
        static_cast<void>(ledger.update(this->fixture.store.hooks(), [](escrow::ledger& target) {
            target.accounts["shop"].deposits["first"] = budgeted;
            return true;
        }));
        this->ticker = std::thread([this] {
            while (!this->is_over) {
                this->budgets.tick();
                std::this_thread::sleep_for(std::chrono::milliseconds(2));
            }
        });
    }

    mutable std::mutex mutex;
    std::vector<traffic::request_outcome> outcomes;
    std::atomic<bool> is_over = false;
    std::thread ticker;
    httplib::Server server;
    std::thread thread;
};

} // namespace samphireway::testing
