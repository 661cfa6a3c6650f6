#include "gateway/http/request_check.h"

#include <boost/algorithm/string/predicate.hpp>

namespace samphireway::gateway {

core::result<void> check_request_head(const header_list& headers, const std::string& target)
{
    const auto malformed = [](std::string message) {
        return core::failure(core::error_code::invalid_argument, std::move(message));
    };
    const std::size_t lengths = count_headers(headers, "Content-Length");
    const std::size_t encodings = count_headers(headers, "Transfer-Encoding");
    if (lengths > 1 || encodings > 1 || (lengths > 0 && encodings > 0)) {
        return malformed("a request may have only one Content-Length or Transfer-Encoding header");
    }
    const std::string* const encoding = find_header(headers, "Transfer-Encoding");
    if (encoding != nullptr && !boost::algorithm::iequals(*encoding, "chunked")) {
        return malformed("chunked is the only transfer encoding accepted");
    }
    if (count_headers(headers, "Host") != 1) {
        return malformed("a request must have exactly one Host header");
    }
    if (!target.starts_with('/')) {
        return malformed("the request target must be a path that begins with a slash");
    }
    return {};
}

} // namespace samphireway::gateway
