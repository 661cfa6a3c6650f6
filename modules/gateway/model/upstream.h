#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace samphireway::gateway {

/** A back end as it registered itself. @see upstream_table */
struct upstream {
    std::string id;
    std::string service;
    std::string address; ///< IP number.
    std::uint16_t port = 0;
    std::string availability_zone;
    std::string version;
    int slots = 0;
    bool is_draining = false;
    std::int64_t started_at_ms = 0; ///< Unix time of its start, which tells incarnations of one id apart.

    bool operator==(const upstream&) const = default;
};

/** The upstreams that may get work, by service. Immutable once published. */
struct upstream_table {
    std::map<std::string, std::vector<std::shared_ptr<const upstream>>> by_service;
};

} // namespace samphireway::gateway
