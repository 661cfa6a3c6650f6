#pragma once

#include "configuration/configuration.h"
#include "core/core.h"

#include <httplib.h>
#include <json/json.h>
#include <optional>

namespace samphireway::admin {

/** Sets the body of a response to JSON. */
void write_json(httplib::Response& response, const Json::Value& json);

/** Sets the status and the JSON body of a response for a failure. @see core::error */
void write_error(httplib::Response& response, const core::error& failure);

/**
    Returns the generation in the `If-Match` header, or an empty value when there is no such header.

    Fails with `invalid_argument` when the header is not a generation.
*/
core::result<std::optional<configuration::generation>> read_precondition(const httplib::Request& request);

} // namespace samphireway::admin
