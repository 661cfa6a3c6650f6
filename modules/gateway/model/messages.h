#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace samphireway::gateway {

/** Header fields in the order received. Names are compared without case. */
using header_list = std::vector<std::pair<std::string, std::string>>;

/** Returns the value of the first field with a name, or null. */
const std::string* find_header(const header_list& headers, std::string_view name);

/** Returns the number of fields with a name. */
std::size_t count_headers(const header_list& headers, std::string_view name);

/** Removes all fields with a name. */
void remove_header(header_list& headers, std::string_view name);

/** Removes the hop-by-hop fields, including those that `Connection` names, and `Content-Length`. */
void remove_connection_headers(header_list& headers);

/** A whole request as read from a requester or sent to an upstream. */
struct request_message {
    std::string method;
    std::string target; ///< Path and query as received.
    header_list headers;
    std::string body;
};

/** The status line and headers of a response. */
struct response_head {
    unsigned status = 0;
    std::string reason;
    header_list headers;
};

/** One part of a prompt, shared by the requests that begin with the same parts. */
struct prompt_part {
    std::string id;
    std::int64_t tokens = 0;
};

/** What the gateway reads from a requester's headers. @see header_dialect */
struct request_facts {
    std::string attempt_id;                             ///< Identifies one attempt of the requester.
    std::optional<std::chrono::milliseconds> time_left; ///< Time until the requester's deadline.
    std::string key;                                    ///< API key; empty if absent.
    std::int64_t prompt_tokens = 0;
    std::int64_t maximum_output_tokens = 0;
    std::vector<prompt_part> prompt_parts;
    std::string last_event_id; ///< Last event that the requester received of a stream it resumes.

    /** Returns the largest number of tokens that the request can use. */
    std::int64_t maximum_tokens() const noexcept
    {
        return this->prompt_tokens + this->maximum_output_tokens;
    }
};

/** What the gateway sends to an upstream in headers. @see header_dialect */
struct forwarding_facts {
    std::chrono::milliseconds time_left{0}; ///< Time until the response must be complete.
    std::string upstream_id; ///< Intended upstream; any other refuses the request without running it.
    std::string workspace;   ///< Empty if the request belongs to no workspace.
    std::optional<int> priority;
    std::string last_event_id; ///< Empty unless a stream is resumed.
};

/** What the gateway reads from an upstream's response headers. @see header_dialect */
struct response_facts {
    std::string attempt_id;  ///< Attempt id that the upstream echoed; empty if absent.
    bool is_signed = false;  ///< Whether the response has the signature of the upstream's application.
    bool is_not_run = false; ///< Whether the upstream promises that the request has not run and never will.
    bool is_wrong_upstream = false; ///< Whether the request was meant for another upstream and has not run.
    bool is_leaving = false;        ///< Whether the upstream is about to end and wants no further request.
    /** Time for which the upstream wants no request of this node. */
    std::optional<std::chrono::milliseconds> pause = std::nullopt;
    bool names_limit = false; ///< Whether the response has a limit, legible or not.
    /** Requests per second that the upstream takes from all nodes together. */
    std::optional<double> limit = std::nullopt;
    bool names_brittle = false; ///< Whether the response says that the upstream is brittle, legible or not.
    /** Refusals in a second that the upstream stands; it falls over if there are more. */
    std::optional<double> refusals_per_second = std::nullopt;
};

} // namespace samphireway::gateway
