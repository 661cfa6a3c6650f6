#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace samphireway::settings {

/** A network address as written in settings: `address:port`. @see parse_endpoint */
struct endpoint_text {
    std::string address;
    std::uint16_t port = 0;
};

/** Reads `address:port`; nothing when the port is missing, zero or out of range. */
std::optional<endpoint_text> parse_endpoint(const std::string& text);

} // namespace samphireway::settings
