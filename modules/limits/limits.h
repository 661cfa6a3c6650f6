#pragma once

/**
    Limits module: divides the agreed load of each upstream between the nodes through escrow accounts,
    and admits requests within this node's share.
*/

#include "limits/control/lease_observer.h"
#include "limits/control/load_controller.h"
#include "limits/gate/admission_queue.h"
#include "limits/gate/load_gate.h"
#include "limits/ledger/load_ledger.h"
#include "limits/policy/share_policy.h"
