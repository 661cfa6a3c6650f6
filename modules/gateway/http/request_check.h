#pragma once

#include "core/core.h"
#include "gateway/model/messages.h"

namespace samphireway::gateway {

/**
    Refuses requests whose end or target two readers could understand differently.

    Checks the framing headers, the `Host` header and the form of the target. Fails with `invalid_argument`.
*/
core::result<void> check_request_head(const header_list& headers, const std::string& target);

} // namespace samphireway::gateway
