#include "budget_schemes.h"

#include "admin/budgets/budget_accounts.h"

#include <algorithm>

namespace samphireway::experiments {

namespace {

constexpr std::chrono::milliseconds maximum_wait{1500};
constexpr std::chrono::milliseconds tick_interval{100};

class grant_scheme final : public budget_scheme {
public:
    grant_scheme(std::size_t node_count, std::uint32_t shards_to_use, core::clock time_to_use)
        : shards(shards_to_use), time(std::move(time_to_use)),
          accounts(this->store.hooks(), this->shards, this->time), nodes(node_count)
    {
        for (std::size_t index = 0; index < node_count; ++index) {
            node& target = this->nodes[index];
            target.grant_pool = std::make_unique<budget::grant_pool>(
                budget::grant_pool_options{.holder = "node-" + std::to_string(index) + ".0123456789ab",
                                           .ledger_shards = this->shards,
                                           .on_shortage = [&target] { target.has_shortage = true; },
                                           .time = this->time});
            for (std::uint32_t shard = 0; shard < this->shards; ++shard) {
                target.clients.push_back(
                    std::make_unique<escrow::ledger_client>(budget::grant_pool::object_key(shard)));
            }
            // Nodes tick at different times within the interval.
            target.next_tick = this->time.steady() + tick_interval * index / node_count;
        }
    }

    void deposit(std::size_t plan, escrow::amount sum) override
    {
        (void)this->accounts.deposit(name(plan), "first", sum);
        this->store.calls = 0;
    }

    reserve_outcome reserve(experiment_request& request) override
    {
        budget::grant_pool& grant_pool = *this->nodes[request.node].grant_pool;
        if (!request.waiting) {
            core::result<budget::reservation> held = grant_pool.reserve(name(request.plan), request.wanted);
            if (held) {
                request.held = std::move(*held);
                return reserve_outcome::granted;
            }
            request.waiting =
                grant_pool.start_waiting(name(request.plan), request.wanted, request.arrived + maximum_wait);
        }
        std::optional<core::result<budget::reservation>> outcome =
            grant_pool.try_waiting(*request.waiting, this->time.steady());
        if (!outcome) {
            return reserve_outcome::waiting;
        }
        if (!*outcome) {
            return reserve_outcome::refused;
        }
        request.held = std::move(**outcome);
        return reserve_outcome::granted;
    }

    void settle(const experiment_request& request) override
    {
        this->nodes[request.node].grant_pool->settle(request.held, request.used, request.id);
    }

    void step() override
    {
        const core::steady_time now = this->time.steady();
        for (node& target : this->nodes) {
            this->write(target);
            if (now >= target.next_tick || target.has_shortage) {
                target.has_shortage = false;
                target.next_tick = std::max(target.next_tick, now - tick_interval) + tick_interval;
                target.pending_updates = target.grant_pool->collect_updates(now);
            }
        }
    }

    void set_cut(std::size_t index, bool is_cut) override
    {
        this->nodes[index].is_cut = is_cut;
    }

    std::uint64_t calls() const override
    {
        return this->store.calls + this->cut_calls;
    }

    std::size_t object_bytes() override
    {
        std::size_t largest = 0;
        for (std::uint32_t shard = 0; shard < this->shards; ++shard) {
            const auto found = this->store.peek(budget::grant_pool::object_key(shard));
            largest = std::max(largest, found ? core::write_json(found->value).size() : 0);
        }
        return largest;
    }

    escrow::amount largest_held(std::size_t plan) override
    {
        escrow::amount largest = 0;
        for (const node& target : this->nodes) {
            largest = std::max(largest, target.grant_pool->free(name(plan)));
        }
        return largest;
    }

private:
    struct node {
        std::unique_ptr<budget::grant_pool> grant_pool;
        std::vector<std::unique_ptr<escrow::ledger_client>> clients;
        std::vector<budget::shard_update> pending_updates;
        core::steady_time next_tick;
        bool is_cut = false;
        bool has_shortage = false;
    };

    static std::string name(std::size_t plan)
    {
        return "plan-" + std::to_string(plan);
    }

    void write(node& target)
    {
        const std::vector<budget::shard_update> updates = std::move(target.pending_updates);
        target.pending_updates.clear();
        for (const budget::shard_update& update : updates) {
            if (target.is_cut) {
                ++this->cut_calls;
                target.grant_pool->count_calls(1);
                target.grant_pool->finish_update(update,
                                                 core::error{.code = core::error_code::platform_unavailable});
                continue;
            }
            escrow::ledger_client& client = *target.clients[update.shard];
            const std::uint64_t before = client.calls();
            const core::result<escrow::ledger> outcome =
                budget::execute_update(client, this->store.hooks(), update);
            target.grant_pool->count_calls(client.calls() - before);
            if (outcome) {
                target.grant_pool->finish_update(update, *outcome);
            }
            else {
                target.grant_pool->finish_update(update, outcome.error());
            }
        }
    }

    const std::uint32_t shards;
    const core::clock time;
    testing::fake_object_store store;
    admin::budget_accounts accounts;
    std::vector<node> nodes;
    std::uint64_t cut_calls = 0;
};

class counter_scheme final : public budget_scheme {
public:
    counter_scheme(std::size_t nodes, std::size_t plans) : remaining(plans), is_cut(nodes) {}

    void deposit(std::size_t plan, escrow::amount sum) override
    {
        this->remaining[plan] += sum;
    }

    reserve_outcome reserve(experiment_request& request) override
    {
        ++this->call_count;
        if (this->is_cut[request.node] || this->remaining[request.plan] < request.wanted) {
            return reserve_outcome::refused;
        }
        this->remaining[request.plan] -= request.wanted;
        return reserve_outcome::granted;
    }

    void settle(const experiment_request& request) override
    {
        ++this->call_count;
        this->remaining[request.plan] += request.wanted - request.used;
    }

    void step() override {}

    void set_cut(std::size_t node, bool cut) override
    {
        this->is_cut[node] = cut;
    }

    std::uint64_t calls() const override
    {
        return this->call_count;
    }

    std::size_t object_bytes() override
    {
        return 0;
    }

    escrow::amount largest_held(std::size_t) override
    {
        return 0;
    }

private:
    std::vector<escrow::amount> remaining;
    std::vector<bool> is_cut;
    std::uint64_t call_count = 0;
};

class static_split_scheme final : public budget_scheme {
public:
    static_split_scheme(std::size_t nodes, std::size_t plans)
        : remaining(nodes, std::vector<escrow::amount>(plans))
    {
    }

    void deposit(std::size_t plan, escrow::amount sum) override
    {
        for (std::vector<escrow::amount>& node : this->remaining) {
            node[plan] += sum / static_cast<escrow::amount>(this->remaining.size());
        }
    }

    reserve_outcome reserve(experiment_request& request) override
    {
        escrow::amount& own = this->remaining[request.node][request.plan];
        if (own < request.wanted) {
            return reserve_outcome::refused;
        }
        own -= request.wanted;
        return reserve_outcome::granted;
    }

    void settle(const experiment_request& request) override
    {
        this->remaining[request.node][request.plan] += request.wanted - request.used;
    }

    void step() override {}

    void set_cut(std::size_t, bool) override {}

    std::uint64_t calls() const override
    {
        return 0;
    }

    std::size_t object_bytes() override
    {
        return 0;
    }

    escrow::amount largest_held(std::size_t plan) override
    {
        escrow::amount largest = 0;
        for (const std::vector<escrow::amount>& node : this->remaining) {
            largest = std::max(largest, node[plan]);
        }
        return largest;
    }

private:
    std::vector<std::vector<escrow::amount>> remaining;
};

} // namespace

std::unique_ptr<budget_scheme> make_grants(std::size_t nodes, std::uint32_t shards, const core::clock& time)
{
    return std::make_unique<grant_scheme>(nodes, shards, time);
}

std::unique_ptr<budget_scheme> make_counter(std::size_t nodes, std::size_t plans)
{
    return std::make_unique<counter_scheme>(nodes, plans);
}

std::unique_ptr<budget_scheme> make_static_split(std::size_t nodes, std::size_t plans)
{
    return std::make_unique<static_split_scheme>(nodes, plans);
}

} // namespace samphireway::experiments
