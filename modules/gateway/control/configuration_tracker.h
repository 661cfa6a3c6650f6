#pragma once

#include "core/core.h"
#include "gateway/control/object_follower.h"
#include "gateway/routes/route_table.h"

#include <functional>
#include <memory>
#include <string>

namespace samphireway::gateway {

/** Reads a configuration. Fails with `invalid_argument`. */
using configuration_reader = std::function<core::result<configuration>(const Json::Value& value)>;

/**
    Which configuration is in force, from the batches of a follower. Control thread only.

    The version never goes down, whatever a batch says.

    @see object_follower, route_table
*/
class configuration_tracker {
public:
    configuration_tracker(std::string object_key, configuration_reader given);

    /** Takes a batch in; returns the table to publish when a higher version has come. */
    std::shared_ptr<const route_table> apply(const followed_batch& received);

    /** Returns the version in force; zero when none is known. */
    std::uint64_t version() const noexcept
    {
        return this->current_version;
    }

private:
    const std::string key;
    const configuration_reader read;
    std::uint64_t current_version = 0;
};

} // namespace samphireway::gateway
