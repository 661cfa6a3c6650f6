#pragma once

#include "core/core.h"
#include "traffic/stream/text_buffer.h"
#include "traffic/upstream/connection_pool.h"
#include "traffic/upstream/deadline_watch.h"

#include <functional>
#include <string>

namespace samphireway::traffic {

/** One attempt of a request at an engine. @see call_engine */
struct engine_request {
    endpoint where;
    std::string body; ///< JSON of the request as the engine expects it; always asks for a stream.
    std::string request_id;
    std::string stream_id;
    std::int64_t resume_from = 0;   ///< Count of output tokens already received.
    std::function<bool()> may_send; ///< Called right before sending; false fails with `not_run`.
    core::steady_time first_byte_deadline;
    std::chrono::milliseconds gap_timeout{0}; ///< Longest time between received bytes.
    core::steady_time deadline;               ///< Deadline of the whole request.
};

/** Outcome of an attempt. @see call_engine */
struct engine_outcome {
    std::optional<core::error> failure;
    token_usage usage;
    bool has_usage = false;
    std::int64_t chunks = 0;        ///< Text chunks received in this attempt.
    std::int64_t next_position = 0; ///< Position at which a resume continues.
    std::string finish_reason;
};

/**
    Receives the text of one chunk and its position, which is the count of output tokens before it.
    Returns false to cancel the stream; that chunk then counts as not received.
*/
using chunk_receiver = std::function<bool(const std::string& text, std::int64_t position)>;

/**
    Runs one attempt and returns its outcome. Blocks until the stream ends, fails, passes a deadline or
    is cancelled by the receiver.

    The failure's verdict is `not_run` only when no byte can have reached the engine or when the engine
    refused the request. A cancelled stream is cancelled at the engine as well.
*/
engine_outcome call_engine(connection_pool& connections, deadline_watch& watch, const engine_request& request,
                           const chunk_receiver& receive);

/**
    Returns whether an engine answers on a fresh connection before the deadline.

    Distinguishes a broken connection from an upstream that is down.
*/
bool is_engine_alive(const connection_pool& connections, deadline_watch& watch, const endpoint& where,
                     core::steady_time deadline);

/** Returns the failure for an error of the HTTP client library, with its verdict. */
core::error transport_failure(httplib::Error error);

/** Returns the failure for an HTTP status of an upstream, with its verdict. */
core::error status_failure(int status, const std::string& body);

/** Returns the failure of a call whose lease on the upstream's load expired before it was sent. */
core::error lease_expired_failure();

/**
    Returns the failure of a call that was not sent: the watch was interrupted by a planned stop, or
    else the lease expired.
*/
core::error unsent_failure(const deadline_watch& watch);

} // namespace samphireway::traffic
