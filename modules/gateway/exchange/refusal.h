#pragma once

#include "core/core.h"
#include "gateway/model/messages.h"

#include <chrono>
#include <string>

namespace samphireway::gateway {

/** Returns whether a status promises the requester that its request has not run and never will. */
bool promises_not_run(unsigned status);

/** Returns the head of a refusal with the status and verdict of its cause. `advice` becomes the `Retry-After`
 * header if the status promises that the request has not run. */
response_head make_refusal_head(const core::error& cause, std::chrono::milliseconds advice);

/** Returns the body of a refusal: code, message and verdict of its cause as JSON. */
std::string make_refusal_body(const core::error& cause);

} // namespace samphireway::gateway
