#pragma once

#include "core/core.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace samphireway::gateway {

/** Compresses bytes in the raw DEFLATE format (RFC 1951). */
std::string deflate_bytes(std::string_view bytes);

/** Decompresses raw DEFLATE bytes. Fails with `invalid_argument` if they are malformed or yield more than
 * `maximum_size` bytes. */
core::result<std::string> inflate_bytes(std::string_view compressed, std::size_t maximum_size);

} // namespace samphireway::gateway
