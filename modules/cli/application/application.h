#pragma once

#include <string>
#include <vector>

namespace samphireway::cli {

/** Exit codes of the program. */
constexpr int exit_success = 0;
constexpr int exit_failure = 1;
constexpr int exit_bad_arguments = 2;

/** A subcommand of the program. @see run_application */
struct subcommand {
    std::string name;
    std::string summary; ///< One line for the usage text.
    /** Runs the subcommand with the arguments after its name and returns the exit code. */
    int (*run)(const std::vector<std::string>& arguments);
};

/**
    Runs the program with the arguments after its name and returns the exit code.
    `additional_subcommands` are available besides those of this module.
*/
int run_application(const std::vector<std::string>& arguments,
                    const std::vector<subcommand>& additional_subcommands = {});

/** Writes a message as one line to standard error and returns `exit_bad_arguments`. */
int report_bad_arguments(const std::string& message);

} // namespace samphireway::cli
