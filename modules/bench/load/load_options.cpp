#include "bench/load/load_options.h"

#include <arpa/inet.h>
#include <charconv>
#include <numeric>

namespace samphireway::bench {

namespace {

constexpr std::array<std::string_view, request_kinds> kind_names{"short", "stream", "prefix", "slow",
                                                                 "service"};

template<typename Number> bool parse_number(std::string_view text, Number& value)
{
    const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), value);
    return fault == std::errc() && end == text.data() + text.size();
}

bool is_loopback(const std::string& address)
{
    constexpr std::uint32_t loopback_network = 127;
    in_addr parsed{};
    return inet_pton(AF_INET, address.c_str(), &parsed) == 1 &&
           ntohl(parsed.s_addr) >> 24U == loopback_network;
}

} // namespace

std::string_view to_string(request_kind kind)
{
    return kind_names.at(static_cast<std::size_t>(kind));
}

std::vector<std::string> split_list(const std::string& text)
{
    std::vector<std::string> parts;
    std::size_t start = 0;
    while (start < text.size()) {
        const std::size_t end = std::min(text.find(',', start), text.size());
        parts.push_back(text.substr(start, end - start));
        start = end + 1;
    }
    return parts;
}

core::result<std::vector<traffic::endpoint>> parse_endpoints(const std::string& text)
{
    constexpr int maximum_port = 65535;
    std::vector<traffic::endpoint> endpoints;
    for (const std::string& part : split_list(text)) {
        const std::size_t colon = part.rfind(':');
        traffic::endpoint parsed;
        parsed.address = part.substr(0, colon);
        const bool has_port = colon != std::string::npos &&
                              parse_number(std::string_view(part).substr(colon + 1), parsed.port) &&
                              parsed.port > 0 && parsed.port <= maximum_port;
        if (!has_port || !is_loopback(parsed.address)) {
            return core::failure(core::error_code::invalid_argument,
                                 part + ": expected a loopback address with a port, such as 127.0.0.1:8080");
        }
        endpoints.push_back(parsed);
    }
    return endpoints;
}

core::result<load_mix> parse_mix(const std::string& text)
{
    load_mix mix{.weights = {}};
    for (const std::string& part : split_list(text)) {
        const std::size_t equals = part.find('=');
        const auto* const name = std::find(kind_names.begin(), kind_names.end(), part.substr(0, equals));
        std::uint32_t weight = 0;
        if (equals == std::string::npos || name == kind_names.end() ||
            !parse_number(std::string_view(part).substr(equals + 1), weight)) {
            return core::failure(core::error_code::invalid_argument,
                                 part + ": expected short, stream, prefix, slow or service with =WEIGHT");
        }
        mix.weights.at(static_cast<std::size_t>(name - kind_names.begin())) = weight;
    }
    if (std::accumulate(mix.weights.begin(), mix.weights.end(), std::uint64_t{0}) == 0) {
        return core::failure(core::error_code::invalid_argument,
                             "the load mix needs at least one weight above zero");
    }
    return mix;
}

} // namespace samphireway::bench
