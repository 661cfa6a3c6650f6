#pragma once

#include <string>

namespace samphireway::platform {

/**
    Returns a name as it may stand between two slashes of a path, or as a value in a query.

    Every byte with a meaning there is percent-encoded, so that the server reads the name as it is.

    @see RFC 3986, section 2.1
*/
std::string encode_component(const std::string& name);

/** Returns a key whose parts are encoded; its slashes stay. @see encode_component */
std::string encode_path(const std::string& key);

} // namespace samphireway::platform
