#pragma once

#include <string>
#include <vector>

namespace samphireway::cli {

/** Exit codes of the program. */
constexpr int exit_success = 0;
constexpr int exit_failure = 1;
constexpr int exit_bad_arguments = 2;

/** One subcommand of the program. @see run_application */
struct subcommand {
    std::string name;
    std::string summary;
    int (*run)(const std::vector<std::string>& arguments);
};

/** Runs the program with the arguments after its name and returns the exit code. `further` are subcommands
 * besides those of this module. */
int run_application(const std::vector<std::string>& arguments, const std::vector<subcommand>& further = {});

/** Writes one line to standard error and returns the exit code for bad arguments. */
int report_bad_arguments(const std::string& message);

} // namespace samphireway::cli
