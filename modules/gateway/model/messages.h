#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace samphireway::gateway {

/** Header fields in the order received. Names compare without case. */
using header_list = std::vector<std::pair<std::string, std::string>>;

/** Returns the first field of a name, or null. */
const std::string* find_header(const header_list& headers, std::string_view name);

/** Returns the number of fields of a name. */
std::size_t count_headers(const header_list& headers, std::string_view name);

/** Removes all fields of a name. */
void remove_header(header_list& headers, std::string_view name);

/** Removes the fields that concern only one connection, including those that `Connection` names. */
void remove_connection_headers(header_list& headers);

/** A whole request as read from a requester or sent to an upstream. */
struct request_message {
    std::string method;
    std::string target; ///< Path and query, unchanged.
    header_list headers;
    std::string body;
};

/** The first part of a response. */
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
    std::string attempt_id; ///< Names one attempt of a requester.
    std::optional<std::chrono::milliseconds> time_left;
    std::string key;
    std::int64_t prompt_tokens = 0;
    std::int64_t maximum_output_tokens = 0;
    std::vector<prompt_part> prompt_parts;
    std::string last_event_id; ///< Of a stream that the requester resumes.

    /** Returns the tokens that the request uses at most. */
    std::int64_t maximum_tokens() const noexcept
    {
        return this->prompt_tokens + this->maximum_output_tokens;
    }
};

/** What the gateway tells an upstream in headers. @see header_dialect */
struct forwarding_facts {
    std::chrono::milliseconds time_left{0};
    std::string upstream_id; ///< Any other upstream refuses the request without running it.
    std::string workspace;   ///< Empty for none.
    std::optional<int> priority;
    std::string last_event_id; ///< Empty unless a stream is resumed.
};

/** What the gateway reads from an upstream's response headers. @see header_dialect */
struct response_facts {
    std::string attempt_id;  ///< As echoed; empty when absent.
    bool is_signed = false;  ///< Comes from the upstream's application.
    bool is_not_run = false; ///< The upstream promises that the request has not run and never will.
    bool is_wrong_upstream = false;
};

} // namespace samphireway::gateway
