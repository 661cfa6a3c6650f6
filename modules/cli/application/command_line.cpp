#include "cli/application/command_line.h"

#include <memory>
#include <popt.h>

namespace samphireway::cli {

namespace {

constexpr int first_option_value = 1;
constexpr int help_value = 10000;

std::string make_help(const std::string& usage, const std::vector<option>& options)
{
    std::string help = "usage: " + usage + "\n";
    for (const option& entry : options) {
        std::string line = "  --" + entry.name + (entry.is_flag ? "" : "=" + entry.value_name);
        constexpr std::size_t help_column = 34;
        line.resize(std::max(line.size() + 2, help_column), ' ');
        help += line + entry.help + "\n";
    }
    help += "  --help                          show this text\n";
    return help;
}

std::vector<poptOption> make_popt_options(const std::vector<option>& options)
{
    std::vector<poptOption> table;
    int value = first_option_value;
    for (const option& entry : options) {
        table.push_back(poptOption{entry.name.c_str(), '\0',
                                   static_cast<unsigned int>(entry.is_flag ? POPT_ARG_NONE : POPT_ARG_STRING),
                                   nullptr, value, nullptr, nullptr});
        ++value;
    }
    table.push_back(poptOption{"help", 'h', POPT_ARG_NONE, nullptr, help_value, nullptr, nullptr});
    table.push_back(poptOption{nullptr, '\0', 0, nullptr, 0, nullptr, nullptr});
    return table;
}

} // namespace

std::string parsed_arguments::value(const std::string& name, const std::string& fallback) const
{
    const auto found = this->values.find(name);
    return found == this->values.end() ? fallback : found->second;
}

bool parsed_arguments::has(const std::string& name) const
{
    return this->values.contains(name);
}

core::result<parsed_arguments> parse_command_line(const std::string& usage,
                                                  const std::vector<option>& options,
                                                  const std::vector<std::string>& arguments)
{
    const std::vector<poptOption> table = make_popt_options(options);
    std::vector<const char*> argv{"samphireway"};
    for (const std::string& argument : arguments) {
        argv.push_back(argument.c_str());
    }
    const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
        poptGetContext(nullptr, static_cast<int>(argv.size()), argv.data(), table.data(), 0),
        &poptFreeContext);
    parsed_arguments parsed;
    parsed.help_text = make_help(usage, options);
    int code = poptGetNextOpt(context.get());
    while (code > 0) {
        if (code == help_value) {
            parsed.is_help_requested = true;
        }
        else {
            const option& entry = options.at(static_cast<std::size_t>(code - first_option_value));
            const std::unique_ptr<char, decltype(&free)> option_value(poptGetOptArg(context.get()), &free);
            parsed.values[entry.name] = option_value ? option_value.get() : "true";
        }
        code = poptGetNextOpt(context.get());
    }
    if (code < -1) {
        return core::failure(core::error_code::invalid_argument,
                             std::string(poptBadOption(context.get(), POPT_BADOPTION_NOALIAS)) + ": " +
                                 poptStrerror(code));
    }
    const char* positional = poptGetArg(context.get());
    while (positional != nullptr) {
        parsed.positional.emplace_back(positional);
        positional = poptGetArg(context.get());
    }
    return parsed;
}

} // namespace samphireway::cli
