#pragma once

#include "core/core.h"
#include "gateway/model/messages.h"

namespace samphireway::gateway {

/**
    Checks that a request has one unambiguous end, host and target, which prevents request smuggling.

    Fails with `invalid_argument` if the headers give the body length more than once, if a transfer
    encoding is not `chunked`, if there is not exactly one `Host` header, or if the target does not
    begin with a slash.
*/
core::result<void> check_request_head(const header_list& headers, const std::string& target);

} // namespace samphireway::gateway
