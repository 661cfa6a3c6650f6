#pragma once

#include "core/core.h"
#include "traffic/upstream/connection_pool.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <vector>

namespace samphireway::bench {

/** Kinds of requests that a load consists of. @see load_mix */
enum class request_kind { short_request, stream, shared_prefix, slow_reader, service_call };

constexpr std::size_t request_kinds = 5;

/** Returns the name of a kind as used in options and reports. */
std::string_view to_string(request_kind kind);

/** Relative weight of each kind, in the order of `request_kind`. */
struct load_mix {
    std::array<std::uint32_t, request_kinds> weights{1, 0, 0, 0, 0};
};

/** Targets, callers and shape of a load. @see run_experiment */
struct load_options {
    std::vector<traffic::endpoint> nodes;
    std::vector<traffic::endpoint> upstreams; ///< Targets of the baseline; their counters are read as well.
    std::vector<traffic::endpoint> platforms; ///< Read for ledgers and for the number of platform calls.
    traffic::endpoint admin;                  ///< Administration API to read budgets from; port 0 for none.
    std::string operator_key;
    std::vector<std::string> plans; ///< Plans that the requests use in turn.
    std::string caller_secret;
    std::string model = "quotes";
    std::string service = "orders";
    std::vector<pid_t> node_processes;
    load_mix mix;
    std::uint64_t seed = 1;
    double requests_per_second = 100;
    std::chrono::milliseconds duration{10000};
    std::chrono::milliseconds request_timeout{60000};
    std::int64_t maximum_requests = 1000000;
    std::size_t connections = 64;
    std::int64_t short_output_tokens = 8;
    std::int64_t stream_output_tokens = 100;
    std::size_t prompt_bytes = 200;
    std::size_t prefix_bytes = 8192;
    std::size_t slow_bytes_per_second = 2000;
    bool has_baseline = false;       ///< Whether to send the chat requests to the upstreams first.
    bool is_settling_awaited = true; ///< Whether to read budgets only once the spend is stable.
};

/** Parses `ADDRESS:PORT,...`. Fails with `invalid_argument` for an address that is not loopback. */
core::result<std::vector<traffic::endpoint>> parse_endpoints(const std::string& text);

/** Parses `KIND=WEIGHT,...`. Fails with `invalid_argument` for an unknown kind or without a positive weight.
 */
core::result<load_mix> parse_mix(const std::string& text);

/** Returns the parts of a text between commas; none for an empty text. */
std::vector<std::string> split_list(const std::string& text);

} // namespace samphireway::bench
