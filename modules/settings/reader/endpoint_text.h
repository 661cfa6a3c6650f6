#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace samphireway::settings {

/** An address and a port as written in settings: `address:port`. @see parse_endpoint */
struct endpoint_text {
    std::string address;
    std::uint16_t port = 0;
};

/** Parses `address:port`. Returns nothing when the address or the port is missing, or when the port
    is not a number from 1 to 65535. */
std::optional<endpoint_text> parse_endpoint(const std::string& text);

} // namespace samphireway::settings
