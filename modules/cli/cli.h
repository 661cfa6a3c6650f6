#pragma once

/**
    Command-line module: the subcommands of the `samphireway` program.
*/

#include "cli/application/application.h"
#include "cli/application/command_line.h"
