#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace samphireway::gateway {

/** A back end, as registered by itself in the object API. @see upstream_table */
struct upstream {
    std::string id;
    std::string service;
    std::string address; ///< IP address.
    std::uint16_t port = 0;
    std::string availability_zone;
    std::string version;
    int slots = 0; ///< Requests that it runs at the same time.
    bool is_draining = false;
    std::int64_t started_at_ms = 0; ///< Unix time of its start; distinguishes the incarnations of one id.

    bool operator==(const upstream&) const = default;
};

/** The registered upstreams by service, including draining ones. Immutable once published. */
struct upstream_table {
    std::map<std::string, std::vector<std::shared_ptr<const upstream>>> by_service;
    std::size_t unusable_entries = 0; ///< Entries that name no upstream.
};

/** Id and start of an upstream: one run of its process. */
using upstream_incarnation = std::pair<std::string, std::int64_t>;

/** Returns the incarnation of an upstream. */
upstream_incarnation incarnation_of(const upstream& entry);

/** Returns whether an upstream of a table is registered at an address. */
bool has_upstream_at(const upstream_table& table, const std::string& address, std::uint16_t port);

/** Returns the incarnations of all upstreams of a table. */
std::set<upstream_incarnation> incarnations_of(const upstream_table& table);

} // namespace samphireway::gateway
