#include "engine/engine_batch.h"

#include <algorithm>
#include <array>

namespace samphireway::standin {

namespace {

constexpr std::size_t maximum_load_samples = 8192;

struct counter_field {
    const char* name;
    std::int64_t engine_counters::*member;
};

constexpr std::array summed_fields{
    counter_field{"running", &engine_counters::running},
    counter_field{"held_tokens", &engine_counters::held_tokens},
    counter_field{"waiting", &engine_counters::waiting},
    counter_field{"requests", &engine_counters::requests},
    counter_field{"completed", &engine_counters::completed},
    counter_field{"refused", &engine_counters::refused},
    counter_field{"failed", &engine_counters::failed},
    counter_field{"out_of_memory", &engine_counters::out_of_memory},
    counter_field{"prompt_tokens", &engine_counters::prompt_tokens},
    counter_field{"cached_tokens", &engine_counters::cached_tokens},
    counter_field{"output_tokens", &engine_counters::output_tokens},
    counter_field{"excess_tokens", &engine_counters::excess_tokens},
};

} // namespace

void add_counts(engine_counters& target, const engine_counters& added)
{
    for (const counter_field& field : summed_fields) {
        target.*field.member += added.*field.member;
    }
}

Json::Value to_json(const engine_counters& counters)
{
    Json::Value json(Json::objectValue);
    for (const counter_field& field : summed_fields) {
        json[field.name] = static_cast<Json::Int64>(counters.*field.member);
    }
    json["peak_running"] = static_cast<Json::Int64>(counters.peak_running);
    json["peak_held_tokens"] = static_cast<Json::Int64>(counters.peak_held_tokens);
    return json;
}

engine_batch::engine_batch(batch_limits limits_to_use) : limits(limits_to_use) {}

bool engine_batch::is_restarting(core::steady_time now) const
{
    return now < this->restart_end;
}

void engine_batch::record_load(core::steady_time now)
{
    this->totals.peak_running = std::max(this->totals.peak_running, this->totals.running);
    this->totals.peak_held_tokens = std::max(this->totals.peak_held_tokens, this->totals.held_tokens);
    this->load_samples.push_back(
        load_sample{.time = now, .running = this->totals.running, .held_tokens = this->totals.held_tokens});
    if (this->load_samples.size() > maximum_load_samples) {
        this->load_samples.pop_front();
    }
}

void engine_batch::fail_out_of_memory(core::steady_time now)
{
    ++this->totals.out_of_memory;
    this->restart_end = now + this->limits.restart_time;
    core::log_event(core::log_level::warning, "engine_out_of_memory",
                    {{"held_tokens", this->totals.held_tokens}, {"running", this->totals.running}});
    this->state_changed.notify_all();
}

admission engine_batch::join(std::int64_t priority, std::int64_t tokens)
{
    std::unique_lock lock(this->mutex);
    ++this->totals.requests;
    const auto is_full = [this] {
        return this->totals.running >= this->limits.maximum_requests;
    };
    const bool must_wait = is_full() || !this->queue.empty();
    const auto maximum_waiting = static_cast<std::size_t>(this->limits.maximum_waiting);
    if (this->is_restarting(std::chrono::steady_clock::now()) ||
        (must_wait && this->queue.size() >= maximum_waiting)) {
        ++this->totals.refused;
        return admission::refused;
    }
    const std::int64_t incarnation_at_arrival = this->totals.out_of_memory;
    const std::uint64_t ticket = this->next_ticket++;
    const auto queue_entry = this->queue.emplace(priority, ticket);
    ++this->totals.waiting;
    this->state_changed.wait(lock, [&] {
        return this->totals.out_of_memory != incarnation_at_arrival ||
               (!is_full() && this->queue.begin()->second == ticket);
    });
    this->queue.erase(queue_entry);
    --this->totals.waiting;
    this->state_changed.notify_all();
    const core::steady_time now = std::chrono::steady_clock::now();
    if (this->totals.out_of_memory != incarnation_at_arrival) {
        return admission::out_of_memory;
    }
    if (this->totals.held_tokens + tokens > this->limits.memory_tokens) {
        this->fail_out_of_memory(now);
        return admission::out_of_memory;
    }
    ++this->totals.running;
    this->totals.held_tokens += tokens;
    this->record_load(now);
    return admission::admitted;
}

void engine_batch::leave(std::int64_t tokens, const engine_counters& used)
{
    const std::lock_guard lock(this->mutex);
    --this->totals.running;
    this->totals.held_tokens -= tokens;
    add_counts(this->totals, used);
    this->record_load(std::chrono::steady_clock::now());
    this->state_changed.notify_all();
}

void engine_batch::count(const engine_counters& added)
{
    const std::lock_guard lock(this->mutex);
    add_counts(this->totals, added);
}

std::int64_t engine_batch::incarnation() const
{
    const std::lock_guard lock(this->mutex);
    return this->totals.out_of_memory;
}

engine_counters engine_batch::counters() const
{
    const std::lock_guard lock(this->mutex);
    return this->totals;
}

Json::Value engine_batch::load_report(std::chrono::milliseconds lag, core::steady_time now) const
{
    const std::lock_guard lock(this->mutex);
    load_sample reported;
    for (const load_sample& sample : this->load_samples) {
        if (sample.time + lag > now) {
            break;
        }
        reported = sample;
    }
    Json::Value json(Json::objectValue);
    json["requests"] = static_cast<Json::Int64>(reported.running);
    json["tokens"] = static_cast<Json::Int64>(reported.held_tokens);
    json["waiting"] = static_cast<Json::Int64>(lag.count() == 0 ? this->totals.waiting : 0);
    return json;
}

} // namespace samphireway::standin
