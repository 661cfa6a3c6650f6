#include "cli/cli.h"
#include "platform/gateway_command.h"

int main(int argc, char** argv)
{
    return samphireway::cli::run_application(
        {argv + 1, argv + argc},
        {{"gateway", "run a gateway node on the users' platform", samphireway::adapter::run_gateway}});
}
