#pragma once

#include "cli/application/command_line.h"
#include "core/core.h"

#include <string>
#include <vector>

namespace samphireway::cli {

/**
    Returns the options of every operator command: administration address, operator key and output
    format.
*/
std::vector<option> connection_options();

/** A call to the administration API. @see call_admin_api */
struct admin_call {
    std::string method;
    std::string path;
    std::string body;
    std::string if_match;        ///< Generation that the entry must have; empty for no precondition.
    bool must_not_exist = false; ///< Whether the edit fails when the entry exists.
    std::string* etag = nullptr; ///< Receives the `ETag` of the response, unless null.
};

/**
    Calls the administration API at the address in the options and returns the JSON body of the response.
    Fails with the error message of the response, or when the API cannot be reached.

    An edit carries the idempotency key of `--idempotency-key`, or a random one. When no response
    arrives, the edit is retried once with the same key, so that it is not applied twice when only the
    response was lost.
*/
core::result<Json::Value> call_admin_api(const parsed_arguments& arguments, const admin_call& call);

/**
    Prints the body of a response, as JSON on one line with `--json` and otherwise as indented text, or
    the error message. Returns the exit code.
*/
int print_answer(const parsed_arguments& arguments, const core::result<Json::Value>& answer);

} // namespace samphireway::cli
