#include "settings/gateway/gateway_settings.h"

#include "settings/reader/settings_file.h"

namespace samphireway::settings {

namespace {

constexpr std::int64_t minute_milliseconds = 60000;

integer_bounds time_bounds(std::chrono::milliseconds fallback)
{
    return {.minimum = 1, .maximum = minute_milliseconds, .fallback = fallback.count()};
}

endpoint_text read_endpoint(settings_reader& reader, const std::string& name)
{
    const std::string text = reader.required_string(name);
    const std::optional<endpoint_text> parsed = parse_endpoint(text);
    if (!text.empty() && !parsed) {
        reader.add_fault(name, text, "address:port");
    }
    return parsed.value_or(endpoint_text{});
}

gateway_listen_settings read_listen(settings_reader reader)
{
    gateway_listen_settings result;
    result.requesters = read_endpoint(reader, "requesters");
    result.probes = read_endpoint(reader, "probes");
    result.internal = read_endpoint(reader, "internal");
    reader.report_unknown_keys();
    return result;
}

object_api_settings read_object_api(settings_reader reader)
{
    object_api_settings result;
    result.address = read_endpoint(reader, "address");
    result.call_timeout = reader.milliseconds("call_timeout_ms", time_bounds(result.call_timeout));
    result.watch_wait = reader.milliseconds(
        "watch_wait_ms", {.minimum = 100, .maximum = 30000, .fallback = result.watch_wait.count()});
    reader.report_unknown_keys();
    return result;
}

gateway_budget_settings read_budget(settings_reader reader)
{
    gateway_budget_settings result;
    result.ledgers = static_cast<std::uint32_t>(
        reader.integer("ledgers", {.minimum = 1, .maximum = 4096, .fallback = result.ledgers}));
    result.horizon = std::chrono::seconds(
        reader.integer("horizon_s", {.minimum = 1, .maximum = 86400, .fallback = result.horizon.count()}));
    result.held_sixteenths = static_cast<int>(
        reader.integer("held_sixteenths", {.minimum = 1, .maximum = 15, .fallback = result.held_sixteenths}));
    result.ledger_writers = static_cast<int>(
        reader.integer("ledger_writers", {.minimum = 1, .maximum = 1024, .fallback = result.ledger_writers}));
    result.minimum_draw_tokens = reader.integer(
        "minimum_draw_tokens", {.minimum = 1, .maximum = 10000000, .fallback = result.minimum_draw_tokens});
    reader.report_unknown_keys();
    return result;
}

gateway_relay_settings read_relays(settings_reader reader)
{
    gateway_relay_settings result;
    result.per_zone = static_cast<int>(
        reader.integer("per_zone", {.minimum = 1, .maximum = 16, .fallback = result.per_zone}));
    result.minimum_nodes = static_cast<int>(reader.integer(
        "minimum_nodes", {.minimum = 2, .maximum = 1000000, .fallback = result.minimum_nodes}));
    result.poll_wait = reader.milliseconds("poll_wait_ms", time_bounds(result.poll_wait));
    result.answer_timeout = reader.milliseconds("answer_timeout_ms", time_bounds(result.answer_timeout));
    result.maximum_age = reader.milliseconds("maximum_age_ms", time_bounds(result.maximum_age));
    if (result.maximum_age <= result.poll_wait + result.answer_timeout) {
        reader.add_fault("maximum_age_ms", std::to_string(result.maximum_age.count()),
                         "more than poll_wait_ms and answer_timeout_ms together");
    }
    reader.report_unknown_keys();
    return result;
}

gateway_retry_settings read_retry(settings_reader reader)
{
    constexpr double percent = 100;
    gateway_retry_settings result;
    const auto share = static_cast<std::int64_t>(result.share * percent);
    const auto burst = static_cast<std::int64_t>(result.burst);
    result.share = static_cast<double>(
                       reader.integer("share_percent", {.minimum = 0, .maximum = 100, .fallback = share})) /
                   percent;
    result.burst =
        static_cast<double>(reader.integer("burst", {.minimum = 1, .maximum = 1000, .fallback = burst}));
    reader.report_unknown_keys();
    return result;
}

gateway_rollout_settings read_rollouts(settings_reader reader)
{
    gateway_rollout_settings result;
    result.exposure_share =
        reader.number("exposure_share", {.minimum = 0.001, .maximum = 1, .fallback = result.exposure_share});
    result.exposure_slack =
        reader.number("exposure_slack", {.minimum = 0, .maximum = 1e6, .fallback = result.exposure_slack});
    reader.report_unknown_keys();
    return result;
}

gateway_limit_settings read_limits(settings_reader reader)
{
    gateway_limit_settings result;
    result.utilization =
        reader.number("utilization", {.minimum = 0.1, .maximum = 1, .fallback = result.utilization});
    reader.report_unknown_keys();
    return result;
}

gateway_stop_settings read_stop(settings_reader reader)
{
    gateway_stop_settings result;
    result.grace = reader.milliseconds("grace_ms", time_bounds(result.grace));
    result.notice = std::min(result.notice, result.grace / 2);
    result.notice = reader.milliseconds("notice_ms", time_bounds(result.notice));
    if (result.notice >= result.grace) {
        reader.add_fault("notice_ms", std::to_string(result.notice.count()),
                         "less than grace_ms, " + std::to_string(result.grace.count()));
    }
    reader.report_unknown_keys();
    return result;
}

} // namespace

gateway_settings_result read_gateway_settings(const Json::Value& document)
{
    gateway_settings_result result;
    std::vector<settings_fault>& faults = result.faults;
    settings_reader root(document, "", faults);
    settings_reader node(root.object("node"), "node", faults);
    result.settings.id = node.required_string("id");
    result.settings.availability_zone = node.required_string("availability_zone");
    result.settings.cpu_share =
        node.number("cpu_share", {.minimum = 0.001, .maximum = 1024, .fallback = 0.25});
    result.settings.link_mbps = node.number("link_mbps", {.minimum = 0.1, .maximum = 1e6, .fallback = 1000});
    result.settings.memory_mb = static_cast<int>(node.integer(
        "memory_mb", {.minimum = 16, .maximum = 1 << 20, .fallback = result.settings.memory_mb}));
    node.report_unknown_keys();
    result.settings.listen = read_listen({root.object("listen"), "listen", faults});
    result.settings.object_api = read_object_api({root.object("object_api"), "object_api", faults});
    result.settings.budget = read_budget({root.object("budget"), "budget", faults});
    result.settings.relays = read_relays({root.object("relays"), "relays", faults});
    result.settings.retry = read_retry({root.object("retry"), "retry", faults});
    result.settings.rollouts = read_rollouts({root.object("rollouts"), "rollouts", faults});
    result.settings.upstream_limits =
        read_limits({root.object("upstream_limits"), "upstream_limits", faults});
    result.settings.stop = read_stop({root.object("stop"), "stop", faults});
    const std::string level = root.string("log_level", "info");
    if (!core::parse_log_level(level, result.settings.log_level)) {
        root.add_fault("log_level", level, "debug, info, warning or error");
    }
    root.report_unknown_keys();
    return result;
}

core::result<gateway_settings> load_gateway_settings(const std::string& file)
{
    const core::result<Json::Value> document = read_settings_file(file);
    if (!document) {
        return tl::unexpected(document.error());
    }
    gateway_settings_result result = read_gateway_settings(*document);
    const core::result<void> checked = check_faults(file, result.faults);
    if (!checked) {
        return tl::unexpected(checked.error());
    }
    return std::move(result.settings);
}

} // namespace samphireway::settings
