#include "bench/bench.h"
#include "cli/application/application.h"
#include "cli/application/command_line.h"
#include "cli/commands/commands.h"

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sys/resource.h>

namespace samphireway::cli {

namespace {

const std::vector<option> bench_options{
    option{.name = "node", .help = "caller addresses of the nodes", .value_name = "ADDRESS:PORT,..."},
    option{.name = "upstream",
           .help = "addresses of the engines, for request counts and the baseline",
           .value_name = "ADDRESS:PORT,..."},
    option{.name = "platform",
           .help = "addresses of the platform, for call counts and prepared plans",
           .value_name = "ADDRESS:PORT,..."},
    option{.name = "admin", .help = "administration address, for budgets", .value_name = "ADDRESS:PORT"},
    option{.name = "plan", .help = "plans that the requests use in turn", .value_name = "ID,..."},
    option{.name = "plan-count", .help = "also use this many prepared plans", .value_name = "N"},
    option{
        .name = "prepare-plans", .help = "write this many plans to the platform and exit", .value_name = "N"},
    option{.name = "list-shards", .help = "number of list shards of prepared plans", .value_name = "N"},
    option{.name = "ledger-shards", .help = "number of budget ledgers of prepared plans", .value_name = "N"},
    option{.name = "budget", .help = "budget of each prepared plan, in tokens", .value_name = "N"},
    option{.name = "secret", .help = "secret of the plans' caller keys"},
    option{.name = "model", .help = "model to ask for; models of prepared plans, as a list"},
    option{.name = "pid", .help = "processes of the nodes", .value_name = "N,..."},
    option{.name = "mix",
           .help = "weights of the kinds: short, stream, prefix, slow, service",
           .value_name = "KIND=WEIGHT,..."},
    option{.name = "seed", .help = "random seed of the load", .value_name = "N"},
    option{.name = "rate", .help = "requests per second", .value_name = "N"},
    option{.name = "duration-ms", .help = "duration of the load in milliseconds", .value_name = "N"},
    option{.name = "timeout-ms", .help = "longest time of one request", .value_name = "N"},
    option{.name = "requests", .help = "maximum number of requests to send", .value_name = "N"},
    option{.name = "connections", .help = "connections and threads, at most 6000", .value_name = "N"},
    option{.name = "short-tokens", .help = "output tokens of a short request", .value_name = "N"},
    option{.name = "stream-tokens", .help = "output tokens of a stream request", .value_name = "N"},
    option{.name = "prompt-bytes", .help = "size of a prompt in bytes", .value_name = "N"},
    option{.name = "prefix-bytes", .help = "size of a shared prompt prefix in bytes", .value_name = "N"},
    option{.name = "slow-bytes", .help = "bytes that a slow reader reads per second", .value_name = "N"},
    option{.name = "baseline", .help = "first send the same load directly to the upstreams", .is_flag = true},
    option{.name = "report", .help = "file to write the result to, as JSON", .value_name = "FILE"},
};

std::int64_t integer_value(const parsed_arguments& arguments, const std::string& name, std::int64_t fallback)
{
    const std::string text = arguments.value(name);
    return text.empty() ? fallback : std::strtoll(text.c_str(), nullptr, 10);
}

core::result<void> read_addresses(const parsed_arguments& arguments, bench::load_options& options)
{
    const auto read = [&](const std::string& name, std::vector<traffic::endpoint>& target) {
        const core::result<std::vector<traffic::endpoint>> parsed =
            bench::parse_endpoints(arguments.value(name));
        if (parsed) {
            target = *parsed;
        }
        return parsed ? core::result<void>{} : tl::unexpected(parsed.error());
    };
    std::vector<traffic::endpoint> admin;
    for (const core::result<void>& outcome :
         {read("node", options.nodes), read("upstream", options.upstreams),
          read("platform", options.platforms), read("admin", admin)}) {
        if (!outcome) {
            return outcome;
        }
    }
    if (!admin.empty()) {
        options.admin = admin.front();
    }
    return {};
}

core::result<void> check_bounds(const bench::load_options& options)
{
    constexpr std::size_t maximum_connections = 6000;
    constexpr std::chrono::minutes maximum_duration{30};
    if (options.connections < 1 || options.connections > maximum_connections ||
        options.duration > maximum_duration || options.duration.count() <= 0 ||
        options.requests_per_second <= 0) {
        return core::failure(core::error_code::invalid_argument,
                             "expected 1 to 6000 connections, a rate above 0 and at most 30 minutes");
    }
    return {};
}

core::result<bench::load_options> read_options(const parsed_arguments& arguments)
{
    using std::chrono::milliseconds;
    bench::load_options options;
    const core::result<void> addresses = read_addresses(arguments, options);
    if (!addresses) {
        return tl::unexpected(addresses.error());
    }
    const core::result<bench::load_mix> mix = bench::parse_mix(arguments.value("mix", "short=1"));
    if (!mix) {
        return tl::unexpected(mix.error());
    }
    options.mix = *mix;
    options.plans = bench::split_list(arguments.value("plan"));
    const std::int64_t prepared_count = integer_value(arguments, "plan-count", 0);
    for (std::int64_t index = 0; index < prepared_count; ++index) {
        options.plans.push_back(bench::prepared_plan_id(static_cast<std::size_t>(index)));
    }
    options.caller_secret = arguments.value("secret");
    options.model = arguments.value("model", options.model);
    for (const std::string& process : bench::split_list(arguments.value("pid"))) {
        options.node_processes.push_back(std::atoi(process.c_str()));
    }
    const char* const operator_key = std::getenv("SAMPHIREWAY_OPERATOR_KEY");
    options.operator_key = operator_key == nullptr ? "" : operator_key;
    options.seed = static_cast<std::uint64_t>(integer_value(arguments, "seed", 1));
    options.requests_per_second = std::strtod(arguments.value("rate", "100").c_str(), nullptr);
    options.duration = milliseconds(integer_value(arguments, "duration-ms", options.duration.count()));
    options.request_timeout =
        milliseconds(integer_value(arguments, "timeout-ms", options.request_timeout.count()));
    options.maximum_requests = integer_value(arguments, "requests", options.maximum_requests);
    options.connections = static_cast<std::size_t>(integer_value(arguments, "connections", 64));
    options.short_output_tokens = integer_value(arguments, "short-tokens", options.short_output_tokens);
    options.stream_output_tokens = integer_value(arguments, "stream-tokens", options.stream_output_tokens);
    options.prompt_bytes = static_cast<std::size_t>(integer_value(arguments, "prompt-bytes", 200));
    options.prefix_bytes = static_cast<std::size_t>(integer_value(arguments, "prefix-bytes", 8192));
    options.slow_bytes_per_second =
        static_cast<std::size_t>(std::max<std::int64_t>(1, integer_value(arguments, "slow-bytes", 2000)));
    options.has_baseline = arguments.has("baseline");
    const core::result<void> bounds = check_bounds(options);
    if (!bounds) {
        return tl::unexpected(bounds.error());
    }
    return options;
}

int run_prepare_plans(const parsed_arguments& arguments, const bench::load_options& options)
{
    if (options.platforms.empty()) {
        return report_bad_arguments("--prepare-plans requires --platform");
    }
    platform::http_platform platform(
        {.address = options.platforms.front().address, .port = options.platforms.front().port});
    const core::result<void> written =
        bench::prepare_plans(platform.make_object_store(),
                             {.plans = static_cast<std::size_t>(integer_value(arguments, "prepare-plans", 0)),
                              .list_shards = static_cast<std::size_t>(
                                  std::max<std::int64_t>(1, integer_value(arguments, "list-shards", 16))),
                              .ledger_shards = static_cast<std::uint32_t>(
                                  std::max<std::int64_t>(1, integer_value(arguments, "ledger-shards", 2))),
                              .models = bench::split_list(options.model + "," + options.service),
                              .secret = options.caller_secret,
                              .budget = integer_value(arguments, "budget", 1000000)});
    if (!written) {
        std::cerr << "samphireway: " << written.error().message << '\n';
        return exit_failure;
    }
    return exit_success;
}

} // namespace

int run_bench(const std::vector<std::string>& arguments)
{
    const core::result<parsed_arguments> parsed =
        parse_command_line("samphireway bench --node=ADDRESS:PORT --plan=ID", bench_options, arguments);
    if (!parsed) {
        return report_bad_arguments(parsed.error().message);
    }
    if (parsed->is_help_requested) {
        std::cout << parsed->help_text;
        return exit_success;
    }
    const core::result<bench::load_options> options = read_options(*parsed);
    if (!options) {
        return report_bad_arguments(options.error().message);
    }
    if (parsed->has("prepare-plans")) {
        return run_prepare_plans(*parsed, *options);
    }
    std::signal(SIGPIPE, SIG_IGN);
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
        limit.rlim_cur = limit.rlim_max;
        setrlimit(RLIMIT_NOFILE, &limit);
    }
    const core::result<bench::experiment_result> result = bench::run_experiment(*options);
    if (!result) {
        return report_bad_arguments(result.error().message);
    }
    const Json::Value report = bench::report_json(*options, *result);
    std::cout << bench::report_text(report);
    if (parsed->has("report")) {
        std::ofstream file(parsed->value("report"));
        file << core::write_json(report) << '\n';
        if (!file) {
            std::cerr << "samphireway: cannot write " << parsed->value("report") << '\n';
            return exit_failure;
        }
    }
    return exit_success;
}

} // namespace samphireway::cli
