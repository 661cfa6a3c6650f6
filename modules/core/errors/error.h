#pragma once

#include "core/errors/verdict.h"

#include <chrono>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace samphireway::core {

/** Causes of failure. `to_string` gives the `code` that an error body carries. @see error, to_string */
enum class error_code {
    invalid_argument,
    unauthenticated,
    forbidden,
    not_found,
    conflict,
    payload_too_large,
    budget_exhausted,
    budget_unavailable,
    overloaded,
    rate_limited,
    no_upstream,
    upstream_failed,
    upstream_timeout,
    cancelled,
    draining,
    platform_unavailable,
    duplicate_request,
    history_gone, ///< The changes that a watch asks for are no longer kept; list again.
    internal
};

/** Returns the name of a code in snake_case. */
std::string_view to_string(error_code code) noexcept;

/** Returns the HTTP status of a response that reports a code to a caller. */
int http_status(error_code code) noexcept;

/**
    Describes a failure and whether the request may have run.

    @see result, verdict
*/
struct error {
    error_code code = error_code::internal;
    std::string message;
    verdict run = verdict::not_run;           ///< Whether the failed request may have run.
    std::chrono::milliseconds retry_after{0}; ///< Delay advised before a retry; zero for no advice.
};

/** Holds a value or an error. @see error */
template<typename Value> using result = tl::expected<Value, error>;

/** Returns an error to be converted to a failed `result`. @see result */
inline tl::unexpected<error> failure(error_code code, std::string message, verdict run = verdict::not_run)
{
    return tl::unexpected<error>(error{.code = code, .message = std::move(message), .run = run});
}

} // namespace samphireway::core
