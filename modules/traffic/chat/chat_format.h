#pragma once

#include "core/core.h"
#include "traffic/stream/text_buffer.h"

#include <functional>
#include <httplib.h>
#include <string>

namespace samphireway::traffic {

/**
    Texts and functions that encode an answer for the caller.

    @see event_stream_format, json_document_format
*/
struct answer_format {
    std::string content_type;
    std::string opening;
    std::function<std::string(const std::string& text)> piece;
    std::function<std::string(const stream_end& end)> closing;
    /** Encodes a failure after the opening; if empty, the connection is closed instead. */
    std::function<std::string(const core::error& failure)> failure;
};

/** Returns the format of an answer as server-sent events. */
answer_format event_stream_format(const std::string& request_id, const std::string& model);

/**
    Returns the format of an answer as one JSON document.

    A document that has begun cannot report a failure. The connection is closed instead, so that the
    caller sees that the answer is incomplete.
*/
answer_format json_document_format(const std::string& request_id, const std::string& model);

/** Writes an error as status, headers and body. @see core::error */
void write_error(httplib::Response& response, const core::error& failure, const std::string& request_id);

/** Returns the caller's `X-Request-Id` when it is short and printable, else a new one. */
std::string request_id_of(const httplib::Request& request);

/** Returns the priority of an `X-Priority` header: 0 (default) to 9; anything else counts as 0. */
int priority_of(const httplib::Request& request);

} // namespace samphireway::traffic
