#include "core/errors/error.h"

#include <array>
#include <cstddef>

namespace samphireway::core {

namespace {

struct code_entry {
    error_code code;
    std::string_view name;
    int status;
};

constexpr std::array code_table{
    code_entry{error_code::invalid_argument, "invalid_argument", 400},
    code_entry{error_code::unauthenticated, "unauthenticated", 401},
    code_entry{error_code::forbidden, "forbidden", 403},
    code_entry{error_code::not_found, "not_found", 404},
    code_entry{error_code::conflict, "conflict", 412},
    code_entry{error_code::payload_too_large, "payload_too_large", 413},
    code_entry{error_code::budget_exhausted, "budget_exhausted", 402},
    code_entry{error_code::budget_unavailable, "budget_unavailable", 503},
    code_entry{error_code::overloaded, "overloaded", 503},
    code_entry{error_code::rate_limited, "rate_limited", 429},
    code_entry{error_code::no_upstream, "no_upstream", 503},
    code_entry{error_code::upstream_failed, "upstream_failed", 502},
    code_entry{error_code::upstream_timeout, "upstream_timeout", 504},
    code_entry{error_code::cancelled, "cancelled", 499},
    code_entry{error_code::draining, "draining", 503},
    code_entry{error_code::platform_unavailable, "platform_unavailable", 503},
    code_entry{error_code::duplicate_request, "duplicate_request", 409},
    code_entry{error_code::history_gone, "history_gone", 410},
    code_entry{error_code::internal, "internal", 500},
};

const code_entry& find_entry(error_code code) noexcept
{
    for (const code_entry& entry : code_table) {
        if (entry.code == code) {
            return entry;
        }
    }
    return code_table.back();
}

} // namespace

std::string_view to_string(error_code code) noexcept
{
    return find_entry(code).name;
}

int http_status(error_code code) noexcept
{
    return find_entry(code).status;
}

} // namespace samphireway::core
