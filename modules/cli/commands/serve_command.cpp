#include "cli/application/application.h"
#include "cli/application/command_line.h"
#include "cli/commands/commands.h"
#include "node/node.h"

#include <csignal>
#include <iostream>
#include <sys/resource.h>
#include <thread>

namespace samphireway::cli {

namespace {

/**
    Blocks the stop signals in this thread and all threads it starts, so that only `wait_for_stop` gets
    them.
*/
sigset_t block_stop_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

void wait_for_stop(const sigset_t& signals)
{
    int received = 0;
    sigwait(&signals, &received);
}

void raise_descriptor_limit()
{
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
        limit.rlim_cur = limit.rlim_max;
        setrlimit(RLIMIT_NOFILE, &limit);
    }
}

core::result<parsed_arguments> parse_settings_argument(const std::string& usage,
                                                       const std::vector<std::string>& arguments)
{
    core::result<parsed_arguments> parsed = parse_command_line(usage, {}, arguments);
    if (parsed && !parsed->is_help_requested && parsed->positional.size() != 1) {
        return core::failure(core::error_code::invalid_argument, "expected one settings file");
    }
    return parsed;
}

} // namespace

int run_check_config(const std::vector<std::string>& arguments)
{
    const core::result<parsed_arguments> parsed =
        parse_settings_argument("samphireway check-config FILE", arguments);
    if (!parsed) {
        return report_bad_arguments(parsed.error().message);
    }
    if (parsed->is_help_requested) {
        std::cout << parsed->help_text;
        return exit_success;
    }
    const core::result<settings::node_settings> loaded = settings::load_node_settings(parsed->positional[0]);
    if (!loaded) {
        std::cerr << loaded.error().message << '\n';
        return exit_failure;
    }
    std::cout << parsed->positional[0] << ": valid\n";
    return exit_success;
}

int run_serve(const std::vector<std::string>& arguments)
{
    const core::result<parsed_arguments> parsed =
        parse_settings_argument("samphireway serve FILE", arguments);
    if (!parsed) {
        return report_bad_arguments(parsed.error().message);
    }
    if (parsed->is_help_requested) {
        std::cout << parsed->help_text;
        return exit_success;
    }
    const core::result<settings::node_settings> loaded = settings::load_node_settings(parsed->positional[0]);
    if (!loaded) {
        std::cerr << loaded.error().message << '\n';
        return exit_failure;
    }
    const sigset_t signals = block_stop_signals();
    raise_descriptor_limit();
    core::initialize_log(loaded->log_level);
    node::router_node router(*loaded);
    const core::result<void> started = router.start();
    if (!started) {
        std::cerr << "samphireway: " << started.error().message << '\n';
        return exit_failure;
    }
    wait_for_stop(signals);
    const core::steady_time deadline = std::chrono::steady_clock::now() + loaded->traffic.stop_timeout;
    // A second signal interrupts the requests that are still in flight. The thread waits for it until
    // the process ends.
    std::thread([&router, &signals] {
        wait_for_stop(signals);
        router.interrupt();
    }).detach();
    const bool is_clean = router.stop(deadline);
    // Ends the process without joining threads: some may still be blocked writing to callers that do not
    // read, and waiting for them would exceed the deadline.
    std::cerr.flush();
    std::_Exit(is_clean ? exit_success : exit_failure);
}

} // namespace samphireway::cli
