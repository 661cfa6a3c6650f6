#include "settings/reader/endpoint_text.h"

#include <charconv>

namespace samphireway::settings {

std::optional<endpoint_text> parse_endpoint(const std::string& text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == 0 || colon == std::string::npos) {
        return std::nullopt;
    }
    std::uint16_t port = 0;
    const char* const end = text.data() + text.size();
    const auto [stopped, failure] = std::from_chars(text.data() + colon + 1, end, port);
    if (failure != std::errc{} || stopped != end || port == 0) {
        return std::nullopt;
    }
    return endpoint_text{.address = text.substr(0, colon), .port = port};
}

} // namespace samphireway::settings
