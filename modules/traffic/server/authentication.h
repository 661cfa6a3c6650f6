#pragma once

#include "configuration/configuration.h"
#include "core/core.h"

#include <string>

namespace samphireway::traffic {

/** Plan and workspace of a caller's key. @see authenticate */
struct caller_identity {
    std::string plan;
    std::string workspace;
};

/**
    Returns the identity of a caller from its `Authorization: Bearer <plan>.<secret>` header.

    Fails with `unauthenticated`. The error does not reveal whether the plan or the secret was wrong.
*/
core::result<caller_identity> authenticate(const configuration::snapshot& configuration,
                                           const std::string& authorization);

} // namespace samphireway::traffic
