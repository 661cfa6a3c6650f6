#include "settings/node/node_settings.h"

#include "settings/reader/endpoint_text.h"
#include "settings/reader/settings_file.h"

namespace samphireway::settings {

namespace {

constexpr integer_bounds port_bounds{.minimum = 1, .maximum = 65535, .fallback = 0};
constexpr std::int64_t hour_milliseconds = 3600000;
constexpr std::size_t sha256_digits = 64;
constexpr std::size_t minimum_peer_key_length = 16;

int read_port(settings_reader& reader, const std::string& name)
{
    const auto port = static_cast<int>(reader.integer(name, port_bounds));
    if (port == 0) {
        reader.add_fault(name, "nothing", "a port from 1 to 65535");
    }
    return port;
}

integer_bounds time_bounds(std::chrono::milliseconds fallback)
{
    return {.minimum = 1, .maximum = hour_milliseconds, .fallback = fallback.count()};
}

integer_bounds size_bounds(std::int64_t minimum, std::int64_t maximum, std::size_t fallback)
{
    return {.minimum = minimum, .maximum = maximum, .fallback = static_cast<std::int64_t>(fallback)};
}

identity_settings read_identity(settings_reader reader)
{
    identity_settings result;
    result.id = reader.required_string("id");
    result.region = reader.string("region", "default");
    result.availability_zone = reader.required_string("availability_zone");
    reader.report_unknown_keys();
    return result;
}

listen_settings read_listen(settings_reader reader)
{
    listen_settings result;
    result.address = reader.required_string("address");
    result.caller_port = read_port(reader, "caller_port");
    result.admin_port = read_port(reader, "admin_port");
    result.peer_port = read_port(reader, "peer_port");
    result.tls_certificate_file = reader.string("tls_certificate_file", "");
    result.tls_key_file = reader.string("tls_key_file", "");
    if (result.tls_certificate_file.empty() != result.tls_key_file.empty()) {
        reader.add_fault("tls_key_file", "only one of the two files",
                         "both tls_certificate_file and tls_key_file, or neither");
    }
    reader.report_unknown_keys();
    return result;
}

platform_settings read_platform(settings_reader reader)
{
    platform_settings result;
    result.address = reader.required_string("address");
    result.port = read_port(reader, "port");
    result.call_timeout = reader.milliseconds("call_timeout_ms", time_bounds(result.call_timeout));
    reader.report_unknown_keys();
    return result;
}

shard_settings read_shards(settings_reader reader)
{
    constexpr std::int64_t maximum_shards = 4096;
    shard_settings result;
    result.lists =
        static_cast<std::size_t>(reader.integer("lists", size_bounds(1, maximum_shards, result.lists)));
    result.budget_ledgers = static_cast<std::uint32_t>(
        reader.integer("budget_ledgers", size_bounds(1, maximum_shards, result.budget_ledgers)));
    result.load_ledgers = static_cast<std::uint32_t>(
        reader.integer("load_ledgers", size_bounds(1, maximum_shards, result.load_ledgers)));
    reader.report_unknown_keys();
    return result;
}

void check_related_values(settings_reader& reader, const traffic_settings& traffic)
{
    const auto check_within_request = [&](const std::string& name, std::chrono::milliseconds value) {
        if (value > traffic.request_timeout) {
            reader.add_fault(name, std::to_string(value.count()),
                             "at most request_timeout_ms, " +
                                 std::to_string(traffic.request_timeout.count()));
        }
    };
    check_within_request("connect_timeout_ms", traffic.connect_timeout);
    check_within_request("first_byte_timeout_ms", traffic.first_byte_timeout);
    check_within_request("gap_timeout_ms", traffic.gap_timeout);
    check_within_request("reserve_timeout_ms", traffic.reserve_timeout);
    if (traffic.reader_buffer_bytes > traffic.node_buffer_bytes) {
        reader.add_fault("reader_buffer_bytes", std::to_string(traffic.reader_buffer_bytes),
                         "at most node_buffer_bytes, " + std::to_string(traffic.node_buffer_bytes));
    }
    if (traffic.default_output_tokens > traffic.maximum_output_tokens) {
        reader.add_fault("default_output_tokens", std::to_string(traffic.default_output_tokens),
                         "at most maximum_output_tokens, " + std::to_string(traffic.maximum_output_tokens));
    }
}

traffic_settings read_traffic(settings_reader reader)
{
    constexpr std::int64_t mebibyte = 1 << 20;
    constexpr std::int64_t gibibyte = 1 << 30;
    constexpr std::int64_t maximum_tokens = 1000000;
    traffic_settings result;
    result.caller_threads = static_cast<std::size_t>(
        reader.integer("caller_threads", size_bounds(4, 65536, result.caller_threads)));
    result.maximum_body_bytes = static_cast<std::size_t>(
        reader.integer("maximum_body_bytes", size_bounds(1024, 64 * mebibyte, result.maximum_body_bytes)));
    result.request_timeout = reader.milliseconds("request_timeout_ms", time_bounds(result.request_timeout));
    result.connect_timeout = reader.milliseconds("connect_timeout_ms", time_bounds(result.connect_timeout));
    result.first_byte_timeout =
        reader.milliseconds("first_byte_timeout_ms", time_bounds(result.first_byte_timeout));
    result.gap_timeout = reader.milliseconds("gap_timeout_ms", time_bounds(result.gap_timeout));
    result.reserve_timeout = reader.milliseconds("reserve_timeout_ms", time_bounds(result.reserve_timeout));
    result.stalled_reader_timeout =
        reader.milliseconds("stalled_reader_timeout_ms", time_bounds(result.stalled_reader_timeout));
    result.stop_timeout = reader.milliseconds("stop_timeout_ms", time_bounds(result.stop_timeout));
    result.stop_notice = reader.milliseconds("stop_notice_ms", time_bounds(result.stop_notice));
    result.reader_buffer_bytes = static_cast<std::size_t>(
        reader.integer("reader_buffer_bytes", size_bounds(1024, mebibyte, result.reader_buffer_bytes)));
    result.node_buffer_bytes = static_cast<std::size_t>(
        reader.integer("node_buffer_bytes", size_bounds(65536, gibibyte, result.node_buffer_bytes)));
    result.default_output_tokens =
        reader.integer("default_output_tokens",
                       {.minimum = 1, .maximum = maximum_tokens, .fallback = result.default_output_tokens});
    result.maximum_output_tokens =
        reader.integer("maximum_output_tokens",
                       {.minimum = 1, .maximum = maximum_tokens, .fallback = result.maximum_output_tokens});
    result.upstream_tls_verify = reader.boolean("upstream_tls_verify", result.upstream_tls_verify);
    result.upstream_tls_ca_file = reader.string("upstream_tls_ca_file", "");
    check_related_values(reader, result);
    reader.report_unknown_keys();
    return result;
}

peer_settings read_peers(settings_reader reader)
{
    peer_settings result;
    result.seeds = reader.string_list("seeds");
    for (const std::string& seed : result.seeds) {
        if (!parse_endpoint(seed)) {
            reader.add_fault("seeds", seed, "entries of the form address:port");
        }
    }
    result.heartbeat_interval = reader.milliseconds(
        "heartbeat_interval_ms",
        {.minimum = 100, .maximum = 60000, .fallback = result.heartbeat_interval.count()});
    reader.report_unknown_keys();
    return result;
}

operator_account read_operator(settings_reader reader)
{
    operator_account result;
    result.name = reader.required_string("name");
    result.key_hash = reader.required_string("key_hash");
    if (result.key_hash.size() != sha256_digits) {
        reader.add_fault("key_hash", "a string of " + std::to_string(result.key_hash.size()) + " characters",
                         "a SHA-256 hash of 64 hexadecimal digits");
    }
    const std::string role = reader.string("role", "viewer");
    if (role != "viewer" && role != "editor") {
        reader.add_fault("role", role, "viewer or editor");
    }
    result.role = role == "editor" ? operator_role::editor : operator_role::viewer;
    reader.report_unknown_keys();
    return result;
}

} // namespace

node_settings_result read_node_settings(const Json::Value& document)
{
    node_settings_result result;
    std::vector<settings_fault>& faults = result.faults;
    settings_reader root(document, "", faults);
    result.settings.node = read_identity({root.object("node"), "node", faults});
    result.settings.listen = read_listen({root.object("listen"), "listen", faults});
    result.settings.platform = read_platform({root.object("platform"), "platform", faults});
    result.settings.shards = read_shards({root.object("shards"), "shards", faults});
    result.settings.traffic = read_traffic({root.object("traffic"), "traffic", faults});
    for (const Json::Value& entry : root.objects("operators")) {
        const std::string path = "operators[" + std::to_string(result.settings.operators.size()) + "]";
        result.settings.operators.push_back(read_operator({entry, path, faults}));
    }
    result.settings.peers = read_peers({root.object("peers"), "peers", faults});
    result.settings.peer_keys = root.string_list("peer_keys");
    for (const std::string& key : result.settings.peer_keys) {
        if (key.size() < minimum_peer_key_length) {
            root.add_fault("peer_keys", "a key of " + std::to_string(key.size()) + " characters",
                           "keys of at least 16 characters");
        }
    }
    const std::string level = root.string("log_level", "info");
    if (!core::parse_log_level(level, result.settings.log_level)) {
        root.add_fault("log_level", level, "debug, info, warning or error");
    }
    root.report_unknown_keys();
    return result;
}

core::result<node_settings> load_node_settings(const std::string& file)
{
    const core::result<Json::Value> document = read_settings_file(file);
    if (!document) {
        return tl::unexpected(document.error());
    }
    node_settings_result result = read_node_settings(*document);
    const core::result<void> checked = check_faults(file, result.faults);
    if (!checked) {
        return tl::unexpected(checked.error());
    }
    return std::move(result.settings);
}

} // namespace samphireway::settings
