#pragma once

#include "admin/budgets/budget_accounts.h"
#include "budget/budget.h"
#include "support/budget_recorder.h"
#include "support/fake_object_store.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace samphireway::testing {

/** Several nodes with real budget code, a fake object store and an injected clock. */
class budget_fleet {
public:
    static constexpr const char* plan = "plan";
    static constexpr std::uint32_t shards = 1;

    struct request {
        escrow::amount wanted = 0;
        std::string id;
        std::optional<budget::waiting_request> waiting;
        std::optional<budget::reservation> held;
    };

    struct node {
        std::string holder;
        std::unique_ptr<budget::grant_pool> grant_pool;
        std::unique_ptr<escrow::ledger_client> client;
        std::vector<request> requests;
        std::optional<budget::shard_update> collected; ///< An update that is not written yet.
        std::chrono::milliseconds wall_offset{0};
        bool is_paused = false;
        bool is_cut = false;
        bool is_cut_after_write = false; ///< The next write takes effect, but its answer is lost.
        std::uint64_t generation = 0;    ///< Of the store, as the last answer named it.
    };

    explicit budget_fleet(std::size_t count, escrow::amount minimum_draw = 2000)
        : nodes(count), accounts(this->store.hooks(), shards,
                                 {.now = [this] { return this->wall; },
                                  .steady =
                                      [this] {
                                          return this->now;
                                      }})
    {
        this->store.on_applied = [this](const std::string&, const Json::Value& before,
                                        const Json::Value& after) {
            this->recorder.record_write(before, after);
        };
        this->draw.minimum_draw = minimum_draw;
        for (std::size_t index = 0; index < count; ++index) {
            this->start(index);
        }
    }

    ~budget_fleet() = default;
    budget_fleet(const budget_fleet&) = delete;
    budget_fleet& operator=(const budget_fleet&) = delete;

    /** Starts a new incarnation of a node; an earlier one counts as crashed and its grants are in doubt. */
    void start(std::size_t index)
    {
        node& target = this->nodes[index];
        if (target.grant_pool) {
            this->crashed_holders.push_back(target.holder);
            this->lost_holders.insert(target.holder);
        }
        target = node{};
        target.holder = "n" + std::to_string(index) + "-" + std::to_string(++this->incarnations);
        target.client = std::make_unique<escrow::ledger_client>(budget::grant_pool::object_key(0));
        const core::clock time{.now = [this, index] { return this->wall + this->nodes[index].wall_offset; },
                               .steady =
                                   [this] {
                                       return this->now;
                                   }};
        target.grant_pool = std::make_unique<budget::grant_pool>(
            budget::grant_pool_options{.holder = target.holder,
                                       .ledger_shards = shards,
                                       .draw = this->draw,
                                       .time = time,
                                       .record = [this](const budget::budget_event& event) {
                                           this->recorder.events.push_back(event);
                                       }});
    }

    void advance(std::chrono::milliseconds by)
    {
        this->now += by;
        this->wall += by;
    }

    /** Sends a request to a node, which reserves its tokens at once or lets it wait. */
    void send(std::size_t index, escrow::amount wanted, const std::string& id)
    {
        node& target = this->nodes[index];
        if (target.is_paused) {
            return;
        }
        request entry{.wanted = wanted, .id = id};
        const core::result<budget::reservation> held = target.grant_pool->reserve(plan, wanted);
        if (held) {
            this->dispatch(target, entry, *held);
        }
        else {
            entry.waiting = target.grant_pool->start_waiting(plan, wanted, this->now + wait_limit);
        }
        target.requests.push_back(std::move(entry));
    }

    /** Settles the oldest reserved request of a node with `percent` of its reservation as used tokens. */
    void settle(std::size_t index, int percent)
    {
        constexpr int hundred = 100;
        node& target = this->nodes[index];
        const auto found = std::find_if(target.requests.begin(), target.requests.end(),
                                        [](const request& entry) { return entry.held.has_value(); });
        if (target.is_paused || found == target.requests.end()) {
            return;
        }
        target.grant_pool->settle(*found->held, found->wanted * percent / hundred, found->id);
        this->delivered += found->wanted * percent / hundred;
        target.requests.erase(found);
        ++this->served;
    }

    /** Takes the next update of a node without writing it. */
    void collect(std::size_t index)
    {
        node& target = this->nodes[index];
        if (target.is_paused || target.collected) {
            return;
        }
        std::vector<budget::shard_update> due = target.grant_pool->collect_updates(this->now);
        if (!due.empty()) {
            target.collected = std::move(due.front());
        }
    }

    /** Writes the update that `collect` took, then retries waiting requests. */
    void write(std::size_t index)
    {
        node& target = this->nodes[index];
        if (target.is_paused) {
            return;
        }
        if (target.collected) {
            const budget::shard_update update = std::move(*target.collected);
            target.collected.reset();
            const std::uint64_t before = target.client->calls();
            const core::result<escrow::ledger> outcome =
                budget::execute_update(*target.client, this->make_node_store(target), update);
            target.grant_pool->count_calls(target.client->calls() - before);
            if (outcome) {
                target.grant_pool->finish_update(update, *outcome);
            }
            else {
                target.grant_pool->finish_update(update, outcome.error());
            }
        }
        this->retry_waiting(target);
    }

    void tick(std::size_t index)
    {
        this->collect(index);
        this->write(index);
    }

    /** Advances the clocks in steps of 100 ms and runs `tick` for each node after each step. */
    void run(std::chrono::milliseconds time)
    {
        constexpr std::chrono::milliseconds step{100};
        for (std::chrono::milliseconds passed{0}; passed < time; passed += step) {
            this->advance(step);
            for (std::size_t index = 0; index < this->nodes.size(); ++index) {
                this->tick(index);
            }
        }
    }

    /** Removes all faults, settles all requests and drains all nodes. */
    void complete()
    {
        this->store.is_down = false;
        this->store.lose_answers = 0;
        this->store.lose_writes = 0;
        this->store.delay_writes = 0;
        this->store.deliver_delayed();
        for (node& target : this->nodes) {
            target.is_paused = false;
            target.is_cut = false;
            target.is_cut_after_write = false;
        }
        this->run(settle_time);
        for (std::size_t index = 0; index < this->nodes.size(); ++index) {
            const std::size_t count = this->nodes[index].requests.size();
            for (std::size_t ended = 0; ended < count; ++ended) {
                constexpr int half = 50;
                this->settle(index, half);
            }
            this->nodes[index].grant_pool->start_drain();
        }
        this->run(settle_time);
    }

    /** Returns the plan's account from the object store; an empty account when there is none. */
    escrow::account stored()
    {
        escrow::ledger_client client(budget::grant_pool::object_key(0));
        const core::result<escrow::ledger> ledger = client.read(this->store.hooks());
        const bool exists = ledger && ledger->accounts.contains(plan);
        return exists ? ledger->accounts.at(plan) : escrow::account{};
    }

    static constexpr std::chrono::milliseconds wait_limit{1500};
    static constexpr std::chrono::milliseconds settle_time{20000};

    fake_object_store store;
    budget_recorder recorder;
    budget::draw_options draw;
    core::steady_time now{std::chrono::hours(1)};
    core::wall_time wall{std::chrono::hours(500000)};
    std::vector<node> nodes;
    std::vector<std::string> crashed_holders;
    std::set<std::string> lost_holders; ///< All crashed holders, without the suffix of an epoch.
    admin::budget_accounts accounts;
    std::size_t served = 0;
    escrow::amount delivered = 0; ///< Sum of the uses of all settled requests.
    std::vector<core::error> refusals;

private:
    void dispatch(const node& target, request& entry, const budget::reservation& held)
    {
        entry.held = held;
        entry.waiting.reset();
        const std::string holder =
            held.epoch == 0 ? target.holder : target.holder + "." + std::to_string(held.epoch);
        this->recorder.events.push_back({.kind = budget::budget_event_kind::dispatch,
                                         .plan = plan,
                                         .holder = holder,
                                         .request = std::to_string(held.number)});
    }

    void retry_waiting(node& target)
    {
        std::vector<request> kept;
        for (request& entry : target.requests) {
            if (entry.waiting) {
                const auto outcome = target.grant_pool->try_waiting(*entry.waiting, this->now);
                if (outcome && !*outcome) {
                    this->refusals.push_back(outcome->error());
                    continue;
                }
                if (outcome) {
                    this->dispatch(target, entry, **outcome);
                }
            }
            kept.push_back(std::move(entry));
        }
        target.requests = std::move(kept);
    }

    /** Returns hooks on the store that apply the faults of the node's connection. */
    platform::object_store make_node_store(node& target)
    {
        platform::object_store hooks = this->store.hooks();
        const auto cut = core::failure(core::error_code::platform_unavailable, "link is cut");
        if (target.is_cut) {
            hooks.get = [cut](const std::string&) {
                return cut;
            };
            hooks.put = [cut](const std::string&, const Json::Value&, platform::object_version) {
                return cut;
            };
        }
        if (target.is_cut_after_write) {
            hooks.put = [this, &target](const std::string& key, const Json::Value& value,
                                        platform::object_version expected) {
                target.is_cut_after_write = false;
                ++this->store.lose_answers;
                return this->store.hooks().put(key, value, expected);
            };
        }
        const auto observed = [this, &target](auto call) {
            return [this, &target, call = std::move(call)](const auto&... arguments) {
                auto outcome = call(arguments...);
                if (outcome) {
                    this->observe_generation(target, outcome->generation);
                }
                return outcome;
            };
        };
        hooks.get = observed(hooks.get);
        hooks.put = observed(hooks.put);
        return hooks;
    }

    void observe_generation(node& target, std::uint64_t generation)
    {
        if (generation > target.generation && target.generation != 0) {
            target.grant_pool->doubt_ledgers(this->now);
            target.grant_pool->trust_ledgers(this->now); // Tests deposit again what the store has lost.
        }
        target.generation = generation;
    }

    std::size_t incarnations = 0;
};

} // namespace samphireway::testing
