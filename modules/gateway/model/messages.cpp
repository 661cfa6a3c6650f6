#include "gateway/model/messages.h"

#include <algorithm>
#include <array>
#include <boost/algorithm/string/predicate.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>

namespace samphireway::gateway {

namespace {

// Hop-by-hop fields of RFC 9110, section 7.6.1. Content-Length is removed with them, since it is part of the
// framing and each connection sets its own.
constexpr std::array<std::string_view, 10> connection_headers{
    "Connection", "Keep-Alive",        "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "TE",
    "Trailer",    "Transfer-Encoding", "Upgrade",          "Content-Length"};

} // namespace

const std::string* find_header(const header_list& headers, std::string_view name)
{
    const auto found = std::find_if(headers.begin(), headers.end(), [name](const auto& field) {
        return boost::algorithm::iequals(field.first, name);
    });
    return found == headers.end() ? nullptr : &found->second;
}

std::size_t count_headers(const header_list& headers, std::string_view name)
{
    return static_cast<std::size_t>(std::count_if(headers.begin(), headers.end(), [name](const auto& field) {
        return boost::algorithm::iequals(field.first, name);
    }));
}

void remove_header(header_list& headers, std::string_view name)
{
    std::erase_if(headers,
                  [name](const auto& field) { return boost::algorithm::iequals(field.first, name); });
}

void remove_connection_headers(header_list& headers)
{
    std::vector<std::string> named;
    for (const auto& [name, value] : headers) {
        if (boost::algorithm::iequals(name, "Connection")) {
            std::vector<std::string> tokens;
            boost::algorithm::split(tokens, value, [](char character) { return character == ','; });
            named.insert(named.end(), tokens.begin(), tokens.end());
        }
    }
    for (std::string& name : named) {
        boost::algorithm::trim(name);
        remove_header(headers, name);
    }
    for (const std::string_view name : connection_headers) {
        remove_header(headers, name);
    }
}

} // namespace samphireway::gateway
