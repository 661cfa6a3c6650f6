#pragma once

/**
    Admin module: the administration API for operators.
*/

#include "admin/budgets/budget_accounts.h"
#include "admin/server/admin_api.h"
