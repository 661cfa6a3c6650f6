#pragma once

#include "core/core.h"
#include "moves/policy/decide.h"

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace samphireway::moves {

/** Versions of a model that may get traffic and their shares. @see version_router */
struct model_shares {
    std::string move;
    std::uint64_t generation = 0;
    std::string stable_version;    ///< Gets all traffic that the new version does not get.
    std::string new_version;       ///< Empty if a single version is in force.
    std::string fallback_version;  ///< Used where no upstream serves the stable version; may be empty.
    double cleared_share = 0;      ///< Share of the new version on cleared routes.
    double uncleared_share = 0;    ///< Share of the new version on all other routes.
    std::set<std::string> cleared; ///< Keys of the cleared routes.
};

/** Shares of all models with a move, by model. All versions of a model that is not listed get traffic. */
using share_table = std::map<std::string, model_shares>;

/** Properties of a request that determine its version. @see version_router::choose */
struct version_request {
    std::string workspace;
    std::string plan;
    std::string model;
    bool is_retry = false; ///< Whether an attempt at another upstream has failed.
};

/**
    Chooses the version for each request according to the published shares.

    During the canary, a route that is not cleared has a bound on the number of requests to the new
    version as well as a share, since random choice alone may exceed the share on a route with little
    traffic. Each node applies the bounds to its own counts, so they hold for the sum over all nodes, up
    to one request for each node and route. Thread-safe.

    @see move_controller
*/
class version_router {
public:
    version_router();

    /** Replaces the shares. */
    void publish(std::shared_ptr<const share_table> shares);

    /** Returns the shares in force. */
    std::shared_ptr<const share_table> shares() const;

    /**
        Returns the versions that may serve a request, in order of preference; empty if any version may.

        `random` is a random number, uniform in [0, 1). A retry goes to the stable version.
    */
    std::vector<std::string> choose(const version_request& request, double random);

private:
    struct counts {
        std::uint64_t generation = 0;
        std::uint32_t total = 0;
        std::uint32_t new_requests = 0;
    };

    static bool allows_one_more(const counts& seen) noexcept;
    bool allow_canary(const model_shares& shares, const version_request& request, bool is_drawn);
    counts* find_or_add(const std::string& key, std::uint64_t generation);

    core::published<share_table> published;
    std::mutex mutex;
    std::unordered_map<std::uint64_t, counts> routes; ///< Key is a hash of the move and the route.
};

} // namespace samphireway::moves
