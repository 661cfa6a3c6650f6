#pragma once

#include "gateway/model/messages.h"

#include <cstddef>
#include <functional>
#include <string>

namespace samphireway::gateway {

/**
    The requester's side of an exchange, as hooks, so that exchanges are tested without a network.

    An exchange ends by exactly one of `send_whole`, `end_stream` and `abort`, unless the requester left.

    @see exchange
*/
struct responder {
    /** Sends a whole response; its length is set from the body. */
    std::function<void(const response_head& head, const std::string& body)> send_whole;

    /** Starts a response whose length is not known yet. */
    std::function<void(const response_head& head)> begin_stream;

    /** Sends the next part of a started response. */
    std::function<void(std::string bytes)> send_part;

    /** Ends a started response as complete. */
    std::function<void()> end_stream;

    /** Closes the connection, so that a started response can not look complete. */
    std::function<void()> abort;

    /** Returns the bytes that the requester has not taken yet. */
    std::function<std::size_t()> queued_bytes;
};

} // namespace samphireway::gateway
