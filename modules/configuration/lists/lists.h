#pragma once

#include "core/core.h"

#include <json/json.h>
#include <map>
#include <string>
#include <vector>

namespace samphireway::configuration {

/** A workspace's prepaid plan. Its balance is kept in the budget ledger. */
struct plan {
    std::string id;
    std::string workspace;
    std::vector<std::string> key_hashes; ///< SHA-256 of each key with which callers may use the plan.
    bool is_enabled = true;
};

/** Permission of a plan to use a version of a model, or a service, at an upstream. */
struct access_entry {
    std::string upstream = "*"; ///< Id of the upstream; `*` for any.
    std::string model;          ///< Name of the model or service.
    std::string version = "*";  ///< Version of the model; `*` for any.
};

/** A version of a model that an upstream serves. */
struct served_model {
    std::string model;
    std::string version;
};

/** Kind of a back end: an inference engine, or a service under `/services/<name>/`. */
enum class upstream_kind { engine, service };

/** A back end that belongs to another team, with the load that its owner agreed to. */
struct upstream {
    std::string id;
    upstream_kind kind = upstream_kind::engine;
    std::string address; ///< IP address.
    int port = 0;
    std::string availability_zone;
    std::vector<served_model> models;
    std::int64_t agreed_requests = 0; ///< Most requests in flight, over all nodes.
    std::int64_t agreed_tokens = 0;   ///< Most tokens in the engine's memory, over all nodes.
    bool orders_fenced = false;       ///< Whether the engine rejects outdated fencing numbers.
    bool is_leaving = false;          ///< Whether the upstream is being taken out of service.
    bool uses_tls = false;
    std::string service; ///< Name in the path `/services/<name>/`; services only.
    /** Path prefixes of a service whose POST requests may be retried. */
    std::vector<std::string> idempotent_prefixes;
};

/** Parses the stored form of a plan. Fails with `invalid_argument`, naming the field. */
core::result<plan> plan_from_json(const std::string& id, const Json::Value& json);

/** Parses the stored form of a plan's access entries. Fails with `invalid_argument`, naming the
    field. */
core::result<std::vector<access_entry>> access_from_json(const Json::Value& json);

/** Parses the stored form of an upstream. Fails with `invalid_argument`, naming the field. */
core::result<upstream> upstream_from_json(const std::string& id, const Json::Value& json);

/** Returns the stored form of a plan. */
Json::Value to_json(const plan& value);

/** Returns the stored form of a plan's access entries. */
Json::Value to_json(const std::vector<access_entry>& value);

/** Returns the stored form of an upstream. */
Json::Value to_json(const upstream& value);

/** Returns whether a string is a valid id: 1 to 64 characters of a-z, A-Z, 0-9, `-` and `_`. */
bool is_valid_id(const std::string& text);

} // namespace samphireway::configuration
