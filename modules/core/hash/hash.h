#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace samphireway::core {

/** Returns the 64-bit XXH3 hash of a text. Stable across nodes and releases; not cryptographic. */
std::uint64_t hash64(std::string_view text);

/**
    Returns the SHA-256 of a text in lowercase hexadecimal. Caller and operator keys are stored in this
    form.

    Throws std::runtime_error when OpenSSL cannot compute it.
*/
std::string sha256_hex(std::string_view text);

/** Returns the HMAC-SHA-256 of a message in lowercase hexadecimal. */
std::string hmac_sha256_hex(std::string_view key, std::string_view message);

/** Compares two texts. For equal sizes, the time does not depend on where they differ. */
bool equal_in_constant_time(std::string_view left, std::string_view right);

/** Returns 32 random hexadecimal digits. Throws std::runtime_error when OpenSSL has no random bytes. */
std::string random_identifier();

/** Returns a 64-bit value as 16 lowercase hexadecimal digits. */
std::string to_hex(std::uint64_t value);

} // namespace samphireway::core
