#include "cli/cli.h"
#include "core/threads/held_signals.h"
#include "platform/gateway_command.h"

#include <string_view>

namespace {

/** Holds back the signals that a node handles, before the libraries are initialised. */
__attribute__((no_sanitize("address", "undefined"))) void hold_signals_of_a_node(int argc, char** argv,
                                                                                 char** /*environment*/)
{
    if (argc < 2) {
        return;
    }
    if (std::string_view(argv[1]) == "gateway") {
        samphireway::core::hold_signals();
    }
}

// The loader calls the functions in this section first.
__attribute__((section(".preinit_array"),
               used)) void (*const first_initialiser)(int, char**, char**) = hold_signals_of_a_node;

} // namespace

int main(int argc, char** argv)
{
    return samphireway::cli::run_application(
        {argv + 1, argv + argc},
        {{"gateway", "run a gateway node on the users' platform", samphireway::adapter::run_gateway}});
}
