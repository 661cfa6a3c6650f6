#pragma once

#include "configuration/repository/snapshot.h"

#include <memory>
#include <string>

namespace samphireway::configuration {

/** Whether an offered object was accepted, and if not, why. @see repository::offer */
enum class acceptance { accepted, not_newer, invalid, not_configuration };

/** An offer of an object that failed validation; the earlier generation stays in force. */
struct rejection {
    generation offered = 0; ///< Generation that was offered.
    std::string reason;     ///< Message of the validation error.
};

/**
    Holds the configuration objects accepted by this node and publishes them as a snapshot.

    An object is accepted only when it is valid and its generation is higher than the one in force,
    whatever its source. The configuration thus never reverts.

    @see snapshot
*/
class repository {
public:
    /** Starts with an empty configuration in which the plans and the access list have `list_shards`
        shards each. */
    explicit repository(std::size_t list_shards);

    /** Offers an object that was read from the platform or from a peer; returns whether it was
        accepted. */
    acceptance offer(const std::string& key, const Json::Value& value);

    /** Returns the configuration in force. May be called from any thread. */
    std::shared_ptr<const snapshot> current() const;

    /** Returns the stored form of an object in force, null when there is none. It is built anew for
        each call, because only the compact form is kept in memory. */
    Json::Value stored(const std::string& key) const;

    /** Returns the rejection of each object whose latest newer offer was invalid, by key. */
    std::map<std::string, rejection> rejections() const;

private:
    static core::result<void> merge(snapshot& next, const std::string& key, const Json::Value& value);

    core::published<snapshot> published;
    mutable std::mutex mutex;
    std::map<std::string, rejection> rejected;
};

/** Returns the key of a shard of the plans list. All keys here are those of the platform's object
    API. */
std::string plans_key(std::size_t shard);
/** Returns the key of a shard of the access list. */
std::string access_key(std::size_t shard);
inline constexpr const char* upstreams_key = "config/upstreams";
inline constexpr const char* moves_key = "config/moves";
inline constexpr const char* configuration_prefix = "config/";

} // namespace samphireway::configuration
