#include "node/metrics/node_metrics.h"

#include <vector>

namespace samphireway::node {

void node_metrics::workspace_record::merge(const workspace_record& other)
{
    this->requests += other.requests;
    this->failures += other.failures;
    this->prompt_tokens += other.prompt_tokens;
    this->output_tokens += other.output_tokens;
    this->billed_tokens += other.billed_tokens;
    this->first_token.merge(other.first_token);
}

void node_metrics::model_record::merge(const model_record& other)
{
    this->first_token.merge(other.first_token);
    this->token_gap.merge(other.token_gap);
}

void node_metrics::plan_record::merge(const plan_record& other)
{
    this->refused_exhausted += other.refused_exhausted;
    this->refused_unavailable += other.refused_unavailable;
}

node_metrics::node_metrics(metric_sources sources_to_use)
    : sources(std::move(sources_to_use)), workspaces(maximum_workspaces), models(maximum_models),
      plans(maximum_plans)
{
}

void node_metrics::observe(const traffic::request_outcome& outcome)
{
    const std::lock_guard lock(this->mutex);
    if (outcome.failure) {
        ++this->failures[{outcome.failure->code, outcome.run}];
    }
    if (outcome.workspace.empty()) {
        // A request without a valid caller key belongs to no workspace.
        return;
    }
    workspace_record& workspace = this->workspaces.record(outcome.workspace);
    ++workspace.requests;
    workspace.failures += outcome.failure ? 1 : 0;
    workspace.prompt_tokens += outcome.prompt_tokens;
    workspace.output_tokens += outcome.output_tokens;
    workspace.billed_tokens += outcome.billed_tokens;
    plan_record& plan = this->plans.record(outcome.plan);
    if (outcome.failure && outcome.failure->code == core::error_code::budget_exhausted) {
        ++plan.refused_exhausted;
    }
    if (outcome.failure && outcome.failure->code == core::error_code::budget_unavailable) {
        ++plan.refused_unavailable;
    }
    if (outcome.first_token.count() == 0) {
        return;
    }
    workspace.first_token.add(outcome.first_token);
    model_record& model = this->models.record(outcome.model);
    model.first_token.add(outcome.first_token);
    if (outcome.output_tokens > 1 && outcome.total > outcome.first_token) {
        model.token_gap.add((outcome.total - outcome.first_token) / (outcome.output_tokens - 1));
    }
}

void node_metrics::observe_queueing(std::string_view priority_class, std::chrono::microseconds waited)
{
    const std::lock_guard lock(this->mutex);
    auto found = this->queueing.find(priority_class);
    if (found == this->queueing.end()) {
        found = this->queueing.emplace(priority_class, metrics::duration_histogram()).first;
    }
    found->second.add(waited);
}

void node_metrics::observe_platform_call(std::string_view kind, bool has_failed)
{
    const std::lock_guard lock(this->mutex);
    auto found = this->platform_calls.find(kind);
    if (found == this->platform_calls.end()) {
        found = this->platform_calls.emplace(kind, call_record{}).first;
    }
    ++found->second.calls;
    found->second.failures += has_failed ? 1 : 0;
}

std::string node_metrics::expose()
{
    metrics::text_writer writer;
    const std::lock_guard lock(this->mutex);
    this->workspaces.promote();
    this->models.promote();
    this->plans.promote();
    this->write_workspaces(writer);
    this->write_models(writer);
    this->write_plans(writer);
    this->write_node(writer);
    return writer.text();
}

void node_metrics::write_workspaces(metrics::text_writer& writer) const
{
    const auto write = [&](std::string_view name, std::string_view help,
                           std::int64_t workspace_record::*member) {
        writer.begin(name, "counter", help);
        this->workspaces.for_each([&](const std::string& label, const workspace_record& record) {
            writer.add({{"workspace", label}}, record.*member);
        });
    };
    write("samphireway_requests_total", "Requests that ended.", &workspace_record::requests);
    write("samphireway_requests_failed_total", "Requests that ended with an error.",
          &workspace_record::failures);
    write("samphireway_prompt_tokens_total", "Prompt tokens that upstreams reported.",
          &workspace_record::prompt_tokens);
    write("samphireway_output_tokens_total", "Output tokens that upstreams reported.",
          &workspace_record::output_tokens);
    write("samphireway_billed_tokens_total", "Tokens billed to plans.", &workspace_record::billed_tokens);
    writer.begin("samphireway_first_token_seconds", "histogram", "Time from arrival to the first token.");
    this->workspaces.for_each([&](const std::string& label, const workspace_record& record) {
        writer.add({{"workspace", label}}, record.first_token.read());
    });
}

void node_metrics::write_models(metrics::text_writer& writer) const
{
    writer.begin("samphireway_model_first_token_seconds", "histogram",
                 "Time from arrival to the first token, by model.");
    this->models.for_each([&](const std::string& label, const model_record& record) {
        writer.add({{"model", label}}, record.first_token.read());
    });
    writer.begin("samphireway_token_gap_seconds", "histogram",
                 "Mean time between the tokens of one answer, by model.");
    this->models.for_each([&](const std::string& label, const model_record& record) {
        writer.add({{"model", label}}, record.token_gap.read());
    });
}

void node_metrics::write_plans(metrics::text_writer& writer) const
{
    writer.begin("samphireway_plan_refusals_total", "counter", "Requests refused for the plan's budget.");
    this->plans.for_each([&](const std::string& label, const plan_record& record) {
        writer.add({{"plan", label}, {"code", "budget_exhausted"}}, record.refused_exhausted);
        writer.add({{"plan", label}, {"code", "budget_unavailable"}}, record.refused_unavailable);
    });
    const auto write = [&](std::string_view name, std::string_view help,
                           const std::function<escrow::amount(const std::string&)>& read) {
        writer.begin(name, "gauge", help);
        this->plans.for_each([&](const std::string& label, const plan_record&) {
            if (label != metrics::shared_label) {
                writer.add({{"plan", label}}, read(label));
            }
        });
    };
    if (this->sources.budget_summary) {
        const auto& summary = this->sources.budget_summary;
        write("samphireway_plan_limit_tokens", "The plan's deposits, as last read.",
              [&](const std::string& plan) { return summary(plan).limit; });
        write("samphireway_plan_spent_tokens", "Settled over all nodes, as last read.",
              [&](const std::string& plan) { return summary(plan).spent; });
        write("samphireway_plan_held_tokens", "Held by all nodes, as last read.",
              [&](const std::string& plan) { return summary(plan).outstanding; });
    }
    if (this->sources.budget_free) {
        write("samphireway_plan_free_tokens", "What this node can reserve without a draw.",
              this->sources.budget_free);
    }
}

void node_metrics::write_node(metrics::text_writer& writer) const
{
    writer.begin("samphireway_failures_total", "counter", "Requests that ended with an error, by cause.");
    for (const auto& [cause, count] : this->failures) {
        writer.add({{"code", core::to_string(cause.first)}, {"verdict", core::to_string(cause.second)}},
                   count);
    }
    writer.begin("samphireway_queueing_seconds", "histogram", "Time that requests waited for admission.");
    for (const auto& [priority_class, histogram] : this->queueing) {
        writer.add({{"class", priority_class}}, histogram.read());
    }
    writer.begin("samphireway_platform_calls_total", "counter", "Calls to the platform, by kind.");
    for (const auto& [kind, record] : this->platform_calls) {
        writer.add({{"kind", kind}}, record.calls);
    }
    writer.begin("samphireway_platform_call_failures_total", "counter", "Failed calls to the platform.");
    for (const auto& [kind, record] : this->platform_calls) {
        writer.add({{"kind", kind}}, record.failures);
    }
    if (this->sources.streams_open) {
        writer.begin("samphireway_upstream_requests_open", "gauge", "Requests now open to upstreams.");
        writer.add({}, this->sources.streams_open());
    }
    if (this->sources.reader_buffer_bytes) {
        writer.begin("samphireway_reader_buffer_bytes", "gauge", "Text held for callers that read slowly.");
        writer.add({}, this->sources.reader_buffer_bytes());
    }
}

} // namespace samphireway::node
