#include "cli/application/application.h"

#include "cli/commands/commands.h"

#include <array>
#include <iostream>

namespace samphireway::cli {

namespace {

const std::array module_subcommands{
    subcommand{"serve", "run a router node", run_serve},
    subcommand{"check-config", "check a settings file", run_check_config},
    subcommand{"plan", "manage plans, their caller keys and their budgets", run_plan},
    subcommand{"access", "edit which upstreams, models and versions a plan may use", run_access},
    subcommand{"upstream", "edit upstreams and their agreed load", run_upstream},
    subcommand{"bench", "send load to running nodes and measure them", run_bench},
    subcommand{"move", "move a model's traffic to another version by a deadline", run_move},
    subcommand{"status", "show the state of a node or of the fleet", run_status},
};

void print_usage(std::ostream& stream, const std::vector<subcommand>& subcommands)
{
    stream << "usage: samphireway SUBCOMMAND [OPTION...]\n";
    for (const subcommand& entry : subcommands) {
        std::string line = "  " + entry.name;
        constexpr std::size_t summary_column = 18;
        line.resize(summary_column, ' ');
        stream << line << entry.summary << '\n';
    }
    stream << "  --help          show this text\n  --version       show the version\n";
}

} // namespace

int report_bad_arguments(const std::string& message)
{
    std::cerr << "samphireway: " << message << '\n';
    return exit_bad_arguments;
}

int run_application(const std::vector<std::string>& arguments,
                    const std::vector<subcommand>& additional_subcommands)
{
    std::vector<subcommand> subcommands(module_subcommands.begin(), module_subcommands.end());
    subcommands.insert(subcommands.end(), additional_subcommands.begin(), additional_subcommands.end());
    if (arguments.empty()) {
        return report_bad_arguments("a subcommand is required; see --help");
    }
    if (arguments.front() == "--help") {
        print_usage(std::cout, subcommands);
        return exit_success;
    }
    if (arguments.front() == "--version") {
        std::cout << "samphireway " << SAMPHIREWAY_VERSION << '\n';
        return exit_success;
    }
    for (const subcommand& entry : subcommands) {
        if (entry.name == arguments.front()) {
            return entry.run({arguments.begin() + 1, arguments.end()});
        }
    }
    return report_bad_arguments("unknown subcommand " + arguments.front() + "; see --help");
}

} // namespace samphireway::cli
