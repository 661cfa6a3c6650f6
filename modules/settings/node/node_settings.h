#pragma once

#include "settings/reader/settings_reader.h"

#include <chrono>
#include <string>
#include <vector>

namespace samphireway::settings {

/** Permissions of an operator: a viewer may only read, an editor may also make changes. */
enum class operator_role { viewer, editor };

/** An operator who may use the administration API. Only a hash of the operator's key is stored. */
struct operator_account {
    std::string name;
    std::string key_hash; ///< SHA-256 in lowercase hexadecimal.
    operator_role role = operator_role::viewer;
};

/** Identity and location of this node. */
struct identity_settings {
    std::string id;
    std::string region;
    std::string availability_zone;
};

/** Address and ports on which this node listens, and its TLS certificate. */
struct listen_settings {
    std::string address; ///< IP address.
    int caller_port = 0;
    int admin_port = 0;
    int peer_port = 0;
    std::string tls_certificate_file; ///< Empty for plain HTTP.
    std::string tls_key_file;         ///< Private key of the certificate.
};

/** Address of the platform and timeout of calls to it. */
struct platform_settings {
    std::string address; ///< IP address.
    int port = 0;
    std::chrono::milliseconds call_timeout{2000};
};

/** Numbers of objects over which lists and ledgers are spread. They must not change during the life
    of a deployment. */
struct shard_settings {
    std::size_t lists = 16; ///< Shards of the plans list and of the access list.
    std::uint32_t budget_ledgers = 2;
    std::uint32_t load_ledgers = 2;
};

/** Limits for the requests of callers. Timeouts are turned into deadlines when a request starts. */
struct traffic_settings {
    std::size_t caller_threads = 4096;
    std::size_t maximum_body_bytes = 4U << 20U;
    std::chrono::milliseconds request_timeout{600000};
    std::chrono::milliseconds connect_timeout{500};
    std::chrono::milliseconds first_byte_timeout{30000};
    std::chrono::milliseconds gap_timeout{10000};
    std::chrono::milliseconds reserve_timeout{1500};
    std::chrono::milliseconds stalled_reader_timeout{120000};
    std::chrono::milliseconds stop_timeout{600000};
    /** Time for which `/healthz` fails on a stop before requests are refused. */
    std::chrono::milliseconds stop_notice{2000};
    std::size_t reader_buffer_bytes = 64U << 10U;
    std::size_t node_buffer_bytes = 64U << 20U;
    std::int64_t default_output_tokens = 512;
    std::int64_t maximum_output_tokens = 32768;
    bool upstream_tls_verify = true;  ///< Whether the certificates of upstreams are verified.
    std::string upstream_tls_ca_file; ///< Trusted authorities in PEM; empty for the system's.
};

/** How this node finds its peers, and how often it sends them heartbeats. */
struct peer_settings {
    std::vector<std::string> seeds; ///< `address:port` of peers, used while the platform is down.
    std::chrono::milliseconds heartbeat_interval{1000};
};

/** All settings of one node. @see read_node_settings */
struct node_settings {
    identity_settings node;
    listen_settings listen;
    platform_settings platform;
    shard_settings shards;
    traffic_settings traffic;
    std::vector<operator_account> operators;
    peer_settings peers;
    std::vector<std::string> peer_keys; ///< The first signs calls; any verifies them, for key rotation.
    core::log_level log_level = core::log_level::info;
};

/** Settings that were read, and the faults found in them. The settings are valid only without
    faults. */
struct node_settings_result {
    node_settings settings;
    std::vector<settings_fault> faults;
};

/** Reads and checks the content of a settings file. @see load_node_settings */
node_settings_result read_node_settings(const Json::Value& document);

/** Reads and checks a settings file, JSON with comments. Fails with `not_found` when the file cannot
    be read, and with `invalid_argument` when it is not JSON or has faults; the message has a line for
    each fault, with file, key, found value and allowed values. */
core::result<node_settings> load_node_settings(const std::string& file);

} // namespace samphireway::settings
