#pragma once

#include "core/core.h"
#include "gateway/control/object_follower.h"
#include "gateway/routes/route_table.h"

#include <functional>
#include <memory>
#include <string>

namespace samphireway::gateway {

/** Decodes a stored configuration. Fails with `invalid_argument` if it is malformed. */
using configuration_reader = std::function<core::result<configuration>(const Json::Value& value)>;

/**
    Tracks the configuration in force from the batches of a follower. Control thread only.

    A configuration whose version is not higher than the one in force is ignored.

    @see object_follower, route_table
*/
class configuration_tracker {
public:
    configuration_tracker(std::string key_to_use, configuration_reader reader_to_use);

    /** Applies a batch. Returns the route table to publish if the batch contained a higher version,
     * otherwise null. */
    std::shared_ptr<const route_table> apply(const followed_batch& received);

    /** Returns the version in force, or zero if there is none yet. */
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
