#pragma once

#include "bench/load/arrival_process.h"

#include <httplib.h>
#include <memory>
#include <string>

namespace samphireway::bench {

/** How a request ended, as its caller sees it. */
enum class request_end {
    whole,         ///< The answer was complete and had the expected text.
    wrong,         ///< The answer had another text than expected.
    truncated,     ///< The answer ended early without an error event.
    failed_midway, ///< The answer ended early with an error event.
    refused,       ///< The answer had an HTTP status other than 200.
    no_answer      ///< The connection failed or timed out before an answer arrived.
};

constexpr std::size_t request_ends = 6;

/** Returns the name used in reports. */
std::string_view to_string(request_end end);

/** Outcome and timing of one request. @see load_client::send */
struct request_result {
    request_kind kind = request_kind::short_request;
    request_end end = request_end::no_answer;
    bool is_false_refusal = false;
    std::string code;                       ///< Error code of a refusal; empty otherwise.
    std::string verdict;                    ///< Verdict of a refusal; empty otherwise.
    std::chrono::microseconds start_lag{0}; ///< Time from the planned to the actual start.
    std::chrono::microseconds first_token{0};
    std::chrono::microseconds total{0};
    std::chrono::microseconds longest_gap{0};
    std::int64_t used_tokens = 0;
};

/** The server that a connection sends requests to. @see load_client */
struct client_target {
    traffic::endpoint endpoint;
    bool is_router = true; ///< False for direct calls to an upstream.
};

/**
    Sends requests over one connection. For use by one thread.

    @see run_load
*/
class load_client {
public:
    load_client(const load_options& options_to_use, client_target target_to_use);

    /** Sends a prepared request, waits for its end and compares the answer with the expected text. */
    request_result send(const planned_request& planned, const prepared_request& prepared,
                        const std::string& plan);

private:
    struct receive_state;

    void open(bool is_slow);
    httplib::Request make_message(const planned_request& planned, const std::string& body,
                                  const std::string& plan) const;
    bool receive(receive_state& state, const char* data, std::size_t size) const;
    void fill_result(const receive_state& state, const httplib::Result& answer,
                     const prepared_request& prepared, request_result& result) const;

    const load_options& options;
    const client_target target;
    std::unique_ptr<httplib::Client> connection;
    bool is_connection_slow = false;
};

} // namespace samphireway::bench
