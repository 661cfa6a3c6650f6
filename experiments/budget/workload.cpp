#include "workload.h"

#include <algorithm>
#include <cmath>
#include <queue>
#include <random>

namespace samphireway::experiments {

namespace {

using escrow::amount;
using std::chrono::milliseconds;

constexpr milliseconds step_length{20};
constexpr milliseconds checkpoint_interval{10000};
constexpr amount smallest_request = 200;
constexpr amount largest_request = 2000;
constexpr double minimum_use = 0.3;
constexpr int shortest_run_ms = 500;
constexpr int longest_run_ms = 3000;

struct actual_plan {
    amount deposited = 0;
    amount used = 0;
    amount reserved = 0;

    amount left() const
    {
        return this->deposited - this->used - this->reserved;
    }
};

struct ends_later {
    bool operator()(const experiment_request& left, const experiment_request& right) const
    {
        return left.ends > right.ends;
    }
};

class runner {
public:
    runner(const workload& load_to_use, const scheme_factory& make)
        : load(load_to_use), random(load_to_use.seed)
    {
        const core::clock time{
            .now =
                [this] { return core::wall_time(std::chrono::hours(500000) + this->now.time_since_epoch()); },
            .steady =
                [this] {
                    return this->now;
                }};
        this->scheme = make(time);
        this->plans.resize(load.plans);
        // Plan k gets a share of the requests proportional to 1 / (k + 1), so that a few plans are
        // large.
        for (std::size_t plan = 0; plan < load.plans; ++plan) {
            this->weights.push_back(1.0 / static_cast<double>(plan + 1));
        }
        double sum = 0;
        for (const double weight : this->weights) {
            sum += weight;
        }
        const double mean_use = (smallest_request + largest_request) / 2.0 * (1 + minimum_use) / 2;
        const double all =
            load.requests_per_second * mean_use * static_cast<double>(load.drained_after.count());
        for (std::size_t plan = 0; plan < load.plans; ++plan) {
            const auto deposit = static_cast<amount>(all * this->weights[plan] / sum);
            this->plans[plan].deposited = deposit;
            this->scheme->deposit(plan, deposit);
        }
    }

    workload_result run()
    {
        const core::steady_time start = this->now;
        core::steady_time checkpoint = start + checkpoint_interval;
        std::uint64_t calls_at_checkpoint = 0;
        while (this->now < start + this->load.length) {
            this->now += step_length;
            this->set_partition(start);
            this->end_requests();
            this->generate_requests();
            this->scheme->step();
            this->retry();
            if (this->now >= checkpoint) {
                checkpoint += checkpoint_interval;
                const double seconds = std::chrono::duration<double>(checkpoint_interval).count();
                const auto calls = static_cast<double>(this->scheme->calls() - calls_at_checkpoint);
                this->result.busiest_calls_per_second =
                    std::max(this->result.busiest_calls_per_second, calls / seconds);
                calls_at_checkpoint = this->scheme->calls();
                this->record_peaks();
            }
        }
        const double seconds = std::chrono::duration<double>(this->now - start).count();
        this->result.calls_per_second = static_cast<double>(this->scheme->calls()) / seconds;
        return this->result;
    }

private:
    void set_partition(core::steady_time start)
    {
        const bool is_cut = this->load.zones_cut > 0 && this->now >= start + this->load.cut_from &&
                            this->now < start + this->load.cut_from + this->load.cut_length;
        if (is_cut == this->was_cut) {
            return;
        }
        this->was_cut = is_cut;
        for (std::size_t node = 0; node < this->load.nodes; ++node) {
            if (node % this->load.zones < this->load.zones_cut) {
                this->scheme->set_cut(node, is_cut);
            }
        }
    }

    void generate_requests()
    {
        const double expected =
            this->load.requests_per_second * std::chrono::duration<double>(step_length).count();
        const int count = std::poisson_distribution<int>(expected)(this->random);
        for (int arrived = 0; arrived < count; ++arrived) {
            experiment_request request;
            request.plan = std::discrete_distribution<std::size_t>(this->weights.begin(),
                                                                   this->weights.end())(this->random);
            request.node = this->pick_node(request.plan);
            request.wanted =
                std::uniform_int_distribution<amount>(smallest_request, largest_request)(this->random);
            const double use = std::uniform_real_distribution<double>(minimum_use, 1)(this->random);
            request.used = std::max<amount>(1, std::llround(use * static_cast<double>(request.wanted)));
            request.arrived = this->now;
            ++this->result.requests;
            request.id = this->result.requests % this->load.identified_every == 0
                             ? "caller-" + std::to_string(this->result.requests)
                             : "";
            this->duration_ms =
                std::uniform_int_distribution<int>(shortest_run_ms, longest_run_ms)(this->random);
            request.ends = this->now + milliseconds(this->duration_ms);
            this->try_reserve(std::move(request));
        }
    }

    std::size_t pick_node(std::size_t plan)
    {
        std::size_t node = std::uniform_int_distribution<std::size_t>(0, this->load.nodes - 1)(this->random);
        const bool is_in_own_zone =
            std::uniform_real_distribution<double>(0, 1)(this->random) < this->load.preferred_zone_share;
        if (is_in_own_zone) {
            node = node - node % this->load.zones + plan % this->load.zones;
        }
        return node % this->load.nodes;
    }

    void try_reserve(experiment_request request)
    {
        actual_plan& plan = this->plans[request.plan];
        switch (this->scheme->reserve(request)) {
        case reserve_outcome::granted:
            plan.reserved += request.wanted;
            this->running.push(std::move(request));
            return;
        case reserve_outcome::waiting:
            this->waiting.push_back(std::move(request));
            return;
        case reserve_outcome::refused:
            ++this->result.refusals;
            this->result.false_refusals += plan.left() >= request.wanted ? 1 : 0;
            return;
        }
    }

    void retry()
    {
        std::vector<experiment_request> retried = std::move(this->waiting);
        this->waiting.clear();
        for (experiment_request& request : retried) {
            request.ends += step_length;
            this->try_reserve(std::move(request));
        }
    }

    void end_requests()
    {
        while (!this->running.empty() && this->running.top().ends <= this->now) {
            const experiment_request& request = this->running.top();
            this->scheme->settle(request);
            actual_plan& plan = this->plans[request.plan];
            plan.reserved -= request.wanted;
            plan.used += request.used;
            this->result.overspend = std::max(this->result.overspend, plan.used - plan.deposited);
            this->running.pop();
        }
    }

    void record_peaks()
    {
        this->result.object_bytes = std::max(this->result.object_bytes, this->scheme->object_bytes());
        for (std::size_t plan = 0; plan < this->plans.size(); ++plan) {
            const amount held = this->scheme->largest_held(plan);
            const amount left = this->plans[plan].left();
            this->result.largest_held = std::max(this->result.largest_held, held);
            if (left > this->plans[plan].deposited / 20) {
                this->result.largest_held_share = std::max(
                    this->result.largest_held_share, static_cast<double>(held) / static_cast<double>(left));
            }
        }
    }

    const workload load;
    std::mt19937_64 random;
    core::steady_time now{std::chrono::hours(1)};
    std::unique_ptr<budget_scheme> scheme;
    std::vector<actual_plan> plans;
    std::vector<double> weights;
    std::vector<experiment_request> waiting;
    std::priority_queue<experiment_request, std::vector<experiment_request>, ends_later> running;
    workload_result result;
    bool was_cut = false;
    int duration_ms = 0;
};

} // namespace

workload_result run_workload(const workload& load, const scheme_factory& make)
{
    return runner(load, make).run();
}

} // namespace samphireway::experiments
