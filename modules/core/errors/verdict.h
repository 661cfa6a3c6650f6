#pragma once

#include <string_view>

namespace samphireway::core {

/**
    Says whether a request may have run at an upstream.

    Every outcome of a request includes a verdict. `not_run` guarantees that no byte of the request
    reached an upstream, or that the upstream refused the request before running it.

    @see error
*/
enum class verdict { not_run, may_have_run, ran };

/** Returns the name used in headers and error bodies: `not_run`, `may_have_run` or `ran`. @see verdict */
constexpr std::string_view to_string(verdict value) noexcept
{
    switch (value) {
    case verdict::not_run:
        return "not_run";
    case verdict::may_have_run:
        return "may_have_run";
    case verdict::ran:
        break;
    }
    return "ran";
}

} // namespace samphireway::core
