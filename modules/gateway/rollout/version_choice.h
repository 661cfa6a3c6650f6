#pragma once

#include "gateway/model/upstream.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace samphireway::gateway {

/** Which versions of a service may serve an attempt. @see eligible_upstreams */
struct version_choice {
    std::string target;        ///< Version to which the service moves; empty if no version is preferred.
    bool is_target = false;    ///< Whether the attempt goes to the target version, else to the others.
    double target_share = 1;   ///< Share of requests that goes to the target version.
    bool is_withdrawn = false; ///< Whether the target version may get no request at all.
};

/**
    Returns the upstreams of a service that may serve an attempt by their version.

    A target version with a small share gets its requests at so few upstreams that these are as loaded as
   under full traffic: a version that fails only under load shows it at a small share. Upstreams for which
    `is_avoided` holds are not among those few if others are left. If the chosen version has no upstream, the
    others serve, except a withdrawn version.
*/
std::vector<std::shared_ptr<const upstream>>
eligible_upstreams(const std::vector<std::shared_ptr<const upstream>>& upstreams,
                   const version_choice& choice, const std::function<bool(const upstream&)>& is_avoided);

} // namespace samphireway::gateway
