#pragma once

#include "core/errors/error.h"

#include <json/json.h>
#include <string>

namespace samphireway::core {

/** Largest nesting depth in stored values. Messages that carry them on nest them a little more. */
constexpr int maximum_stored_depth = 32;

/**
    Parses a JSON text that holds values of several writers, such as a list of stored objects.

    One odd value does not hide the others: a value that is nested too deeply, a number out of range, or a
    string with half of a surrogate pair becomes null, and the last of several members with one name counts.
   Fails with `invalid_argument` if the text is not JSON.

    @see parse_json
*/
result<Json::Value> parse_stored_json(const std::string& text);

} // namespace samphireway::core
