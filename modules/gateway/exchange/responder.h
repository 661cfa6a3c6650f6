#pragma once

#include "gateway/model/messages.h"

#include <cstddef>
#include <functional>
#include <string>

namespace samphireway::gateway {

/**
    Hooks through which an exchange responds to its requester; they let tests run exchanges without a
    network.

    An exchange ends with exactly one call of `send_whole`, `end_stream` or `abort`, unless the
    requester closed its connection first.

    @see exchange
*/
struct responder {
    /** Sends a whole response. `Content-Length` is set from the body. */
    std::function<void(const response_head& head, const std::string& body)> send_whole;

    /** Starts a streamed response, whose length is not known yet. */
    std::function<void(const response_head& head)> begin_stream;

    /** Sends the next bytes of a streamed response. */
    std::function<void(std::string bytes)> send_part;

    /** Ends a streamed response as complete. */
    std::function<void()> end_stream;

    /** Closes the connection without ending the streamed response, so that it cannot look complete. */
    std::function<void()> abort;

    /** Returns the number of bytes queued that are not yet written to the requester. */
    std::function<std::size_t()> queued_bytes;
};

} // namespace samphireway::gateway
