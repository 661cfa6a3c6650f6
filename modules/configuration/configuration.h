#pragma once

/**
    Configuration module: the lists that operators edit, their validation, the edits, and the
    distribution of the configuration in force to all nodes.
*/

#include "configuration/distribution/distributor.h"
#include "configuration/editing/editor.h"
#include "configuration/history/history_checker.h"
#include "configuration/lists/compact_lists.h"
#include "configuration/lists/lists.h"
#include "configuration/lists/move_entry.h"
#include "configuration/repository/repository.h"
#include "configuration/repository/snapshot.h"
