#pragma once

#include <string>
#include <vector>

namespace samphireway::cli {

/**
    Subcommands of the program. Each takes the arguments after its name and returns an exit code.

    @see subcommand
*/
int run_serve(const std::vector<std::string>& arguments);
int run_check_config(const std::vector<std::string>& arguments);
int run_plan(const std::vector<std::string>& arguments);
int run_access(const std::vector<std::string>& arguments);
int run_upstream(const std::vector<std::string>& arguments);
int run_bench(const std::vector<std::string>& arguments);
int run_move(const std::vector<std::string>& arguments);
int run_status(const std::vector<std::string>& arguments);

} // namespace samphireway::cli
