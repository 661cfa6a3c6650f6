#pragma once

/** Budget module: the grants that a node draws from plans' prepaid budgets, and their settlement. */

#include "budget/control/budget_controller.h"
#include "budget/grants/grant_pool.h"
#include "budget/history/budget_event.h"
#include "budget/history/history_checker.h"
#include "budget/policy/draw_policy.h"
