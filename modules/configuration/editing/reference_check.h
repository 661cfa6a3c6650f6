#pragma once

#include "configuration/lists/lists.h"
#include "configuration/repository/snapshot.h"

#include <string>
#include <vector>

namespace samphireway::configuration {

/** Checks that each access entry names an upstream of the list, or `*`, and that such an upstream
    serves its model or service in its version. Fails with `invalid_argument`, naming entry and field.
    `upstreams` is the stored form of the upstreams list. */
core::result<void> check_access_references(const std::vector<access_entry>& entries,
                                           const Json::Value& upstreams);

/** Checks that no access entry in force names an upstream. Fails with `conflict`, naming a plan that
    does. */
core::result<void> check_upstream_unreferenced(const snapshot& in_force, const std::string& upstream);

} // namespace samphireway::configuration
