#pragma once

#include "core/core.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace samphireway::cli {

/** An option of a subcommand. @see parse_command_line */
struct option {
    std::string name;                ///< Long name without dashes.
    std::string help;                ///< Description in the help text.
    std::string value_name = "TEXT"; ///< Placeholder of the value in the help text.
    bool is_flag = false;            ///< A flag takes no value.
};

/** Parsed options and positional arguments. @see parse_command_line */
struct parsed_arguments {
    std::map<std::string, std::string> values; ///< Value by option name; a flag that is set has `true`.
    std::vector<std::string> positional;
    bool is_help_requested = false;
    std::string help_text; ///< Usage and description of all options.

    /** Returns an option's value, or `fallback` when the option is not set. */
    std::string value(const std::string& name, const std::string& fallback = {}) const;

    /** Returns whether an option is set. */
    bool has(const std::string& name) const;
};

/**
    Parses the arguments after a subcommand's name. Fails with `invalid_argument` and a message of one
    line that names the option.
*/
core::result<parsed_arguments> parse_command_line(const std::string& usage,
                                                  const std::vector<option>& options,
                                                  const std::vector<std::string>& arguments);

} // namespace samphireway::cli
