#pragma once

/**
    Moves module: gradually shifts a model's traffic from one version to another by an operator's
    deadline.

    Each step depends on measurements of both versions, and a faulty new version is rolled back.
*/

#include "moves/control/model_versions.h"
#include "moves/control/move_controller.h"
#include "moves/control/record_store.h"
#include "moves/evidence/evidence_table.h"
#include "moves/evidence/fault_model.h"
#include "moves/evidence/sequential_test.h"
#include "moves/evidence/summary.h"
#include "moves/policy/decide.h"
#include "moves/policy/move_record.h"
#include "moves/policy/ramp.h"
#include "moves/shares/version_router.h"
