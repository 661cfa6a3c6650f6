#include "gateway/process/gateway_metrics.h"

#include "core/core.h"

namespace samphireway::gateway {

namespace {

void write_upstreams(metrics::text_writer& writer, const upstream_table& known,
                     const routing::health_table& health)
{
    writer.begin("samphireway_upstreams", "gauge", "Registered upstreams by service and state.");
    for (const auto& [service, upstreams] : known.by_service) {
        std::int64_t ready = 0;
        std::int64_t draining = 0;
        std::int64_t ejected = 0;
        for (const std::shared_ptr<const upstream>& entry : upstreams) {
            const bool is_ejected = health.is_ejected(entry->id);
            draining += entry->is_draining ? 1 : 0;
            ejected += !entry->is_draining && is_ejected ? 1 : 0;
            ready += !entry->is_draining && !is_ejected ? 1 : 0;
        }
        writer.add({{"service", service}, {"state", "ready"}}, ready);
        writer.add({{"service", service}, {"state", "draining"}}, draining);
        writer.add({{"service", service}, {"state", "ejected"}}, ejected);
    }
}

} // namespace

std::string write_metrics(const counters& counts, const upstream_table& known,
                          std::uint64_t opened_connections, const routing::health_table& health,
                          const rollout_controller& rollouts, const upstream_limits& limits,
                          const brittle_upstreams& brittle)
{
    metrics::text_writer writer;
    writer.begin("samphireway_requests_total", "counter", "Ended requests by outcome.");
    for (const auto& [outcome, count] : counts.outcomes) {
        writer.add({{"outcome", outcome}}, count);
    }
    writer.begin("samphireway_attempts_total", "counter", "Attempts at upstreams by result.");
    for (const auto& [result, count] : counts.attempt_results) {
        writer.add({{"result", result}}, count);
    }
    writer.begin("samphireway_retries_total", "counter", "Requests sent to a further upstream.");
    writer.add({}, counts.retries);
    writer.begin("samphireway_resumed_streams_total", "counter", "Streams continued at another upstream.");
    writer.add({}, counts.resumed_streams);
    writer.begin("samphireway_requests_in_flight", "gauge", "Requests being served.");
    writer.add({}, counts.requests_in_flight);
    writer.begin("samphireway_responses_in_delivery", "gauge",
                 "Complete responses with bytes that are not written to their requesters yet.");
    writer.add({}, counts.responses_in_delivery);
    writer.begin("samphireway_requester_connections", "gauge", "Open connections of requesters.");
    writer.add({}, counts.requester_connections);
    writer.begin("samphireway_upstream_connections_opened_total", "counter",
                 "Connections opened to upstreams.");
    writer.add({}, static_cast<std::int64_t>(opened_connections));
    writer.begin("samphireway_log_lines_dropped_total", "counter", "Log lines over the rate or the buffer.");
    writer.add({}, static_cast<std::int64_t>(core::dropped_log_lines()));
    write_upstreams(writer, known, health);
    writer.begin("samphireway_unusable_upstream_entries", "gauge",
                 "Registered entries that name no upstream that can be used.");
    writer.add({}, static_cast<std::int64_t>(known.unusable_entries));
    writer.begin("samphireway_limited_upstreams", "gauge", "Upstreams that name a limit of their rate.");
    writer.add({}, static_cast<std::int64_t>(limits.size()));
    writer.begin("samphireway_limited_choices_total", "counter",
                 "Times an upstream was passed over because of its limit.");
    writer.add({}, counts.choices_limited);
    writer.begin("samphireway_brittle_upstreams", "gauge",
                 "Upstreams that fall over when they have to refuse too much.");
    writer.add({}, static_cast<std::int64_t>(brittle.size()));
    writer.begin("samphireway_brittle_choices_total", "counter",
                 "Times a brittle upstream was passed over because this node had no seat left there.");
    writer.add({}, counts.choices_brittle);
    writer.begin("samphireway_rollout_requests_total", "counter",
                 "Requests during a roll-out by service and version.");
    for (const auto& [service, count] : rollouts.counts()) {
        writer.add({{"service", service}, {"version", "target"}}, count.target);
        writer.add({{"service", service}, {"version", "stable"}}, count.stable);
    }
    writer.begin("samphireway_first_output_seconds", "histogram", "Arrival to response or first event.");
    writer.add({}, counts.time_to_first_output.read());
    writer.begin("samphireway_request_seconds", "histogram", "Arrival to the end of the request.");
    writer.add({}, counts.request_duration.read());
    return writer.text();
}

} // namespace samphireway::gateway
