#include "cli/cli.h"
#include "engine/engine_standin.h"
#include "link/link_standin.h"
#include "platform/platform_standin.h"
#include "service/service_standin.h"

#include <csignal>
#include <iostream>
#include <memory>
#include <sys/resource.h>
#include <vector>

namespace {

using samphireway::cli::option;
using samphireway::cli::parsed_arguments;

const std::vector<option> options{
    option{.name = "port", .help = "first port on which to listen", .value_name = "N"},
    option{.name = "count", .help = "number of consecutive ports", .value_name = "N"},
    option{.name = "model", .help = "name of the model that an engine serves"},
    option{.name = "version", .help = "version of the model that an engine serves"},
    option{.name = "max-requests",
           .help = "largest number of requests in the batch of an engine",
           .value_name = "N"},
    option{.name = "memory-tokens", .help = "memory of an engine in tokens", .value_name = "N"},
    option{.name = "max-waiting", .help = "number of requests that may wait at an engine", .value_name = "N"},
    option{.name = "restart-ms",
           .help = "restart time of an engine after running out of memory, in ms",
           .value_name = "N"},
    option{.name = "cache-tokens", .help = "size of an engine's prefix cache in tokens", .value_name = "N"},
    option{.name = "target-port", .help = "port to which a link forwards connections", .value_name = "N"},
    option{.name = "control-port",
           .help = "port that serves the faults and counters of a link",
           .value_name = "N"},
    option{.name = "token-interval-us", .help = "time between tokens of a stream, in us", .value_name = "N"},
    option{.name = "prefill-us",
           .help = "time per uncached prompt token before the first token, in us",
           .value_name = "N"},
};

int integer_option(const parsed_arguments& arguments, const std::string& name, int fallback)
{
    const std::string text = arguments.value(name);
    return text.empty() ? fallback : std::atoi(text.c_str());
}

void wait_for_stop()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    int received = 0;
    sigwait(&signals, &received);
}

/** Starts the stand-ins and waits for SIGTERM or SIGINT. Ends the process unless a start fails. */
template<typename Standin> int run(std::vector<std::unique_ptr<Standin>> standins)
{
    for (const std::unique_ptr<Standin>& standin : standins) {
        const samphireway::core::result<void> started = standin->start();
        if (!started) {
            std::cerr << "samphireway-standin: " << started.error().message << '\n';
            return samphireway::cli::exit_failure;
        }
    }
    wait_for_stop();
    // Exits without waiting for connections that are still open.
    std::_Exit(samphireway::cli::exit_success);
}

std::vector<std::unique_ptr<samphireway::standin::engine_standin>>
make_engines(const parsed_arguments& arguments, int port, int count)
{
    using namespace samphireway::standin;
    using std::chrono::microseconds;
    std::vector<std::unique_ptr<engine_standin>> standins;
    const auto weights = std::make_shared<weight_store>();
    for (int index = 0; index < count; ++index) {
        standins.push_back(std::make_unique<engine_standin>(engine_standin_options{
            .port = port + index,
            .model = arguments.value("model", "quotes"),
            .version = arguments.value("version", "1"),
            .limits = {.maximum_requests = integer_option(arguments, "max-requests", 64),
                       .maximum_waiting = integer_option(arguments, "max-waiting", 0),
                       .memory_tokens = integer_option(arguments, "memory-tokens", 1 << 20),
                       .restart_time =
                           std::chrono::milliseconds(integer_option(arguments, "restart-ms", 2000))},
            .cache_tokens = integer_option(arguments, "cache-tokens", 1 << 18),
            .token_interval = microseconds(integer_option(arguments, "token-interval-us", 20000)),
            .prefill_per_token = microseconds(integer_option(arguments, "prefill-us", 0)),
            .weights = weights}));
    }
    return standins;
}

int run_role(const std::string& role, const parsed_arguments& arguments)
{
    using namespace samphireway::standin;
    const int port = integer_option(arguments, "port", 0);
    const int count = integer_option(arguments, "count", 1);
    if (role == "platform") {
        std::vector<std::unique_ptr<platform_standin>> standins;
        standins.push_back(std::make_unique<platform_standin>(
            platform_standin_options{.port = port, .endpoint_count = count}));
        return run(std::move(standins));
    }
    if (role == "service") {
        std::vector<std::unique_ptr<service_standin>> standins;
        standins.push_back(std::make_unique<service_standin>(service_standin_options{.port = port}));
        return run(std::move(standins));
    }
    if (role == "link") {
        std::vector<std::unique_ptr<link_standin>> standins;
        standins.push_back(std::make_unique<link_standin>(
            link_standin_options{.port = port,
                                 .target_port = integer_option(arguments, "target-port", 0),
                                 .control_port = integer_option(arguments, "control-port", 0)}));
        return run(std::move(standins));
    }
    if (role != "engine") {
        return samphireway::cli::report_bad_arguments(
            "unknown role: expected platform, engine, service or link");
    }
    return run(make_engines(arguments, port, count));
}

} // namespace

int main(int argc, char** argv)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
        limit.rlim_cur = limit.rlim_max;
        setrlimit(RLIMIT_NOFILE, &limit);
    }
    const auto parsed = samphireway::cli::parse_command_line(
        "samphireway-standin platform|engine|service|link", options, {argv + 1, argv + argc});
    if (!parsed) {
        return samphireway::cli::report_bad_arguments(parsed.error().message);
    }
    if (parsed->is_help_requested) {
        std::cout << parsed->help_text;
        return samphireway::cli::exit_success;
    }
    if (parsed->positional.size() != 1) {
        return samphireway::cli::report_bad_arguments(
            "expected exactly one role: platform, engine, service or link");
    }
    return run_role(parsed->positional[0], *parsed);
}
