#pragma once

#include "escrow/ledger/ledger.h"

namespace samphireway::escrow {

/**
    Brings into a ledger what another state of it shows that it lacks, as after a restore of the object API
    from a backup. Returns whether the ledger has changed.

    The amounts of a deposit, a reduction or a holder only rise, and a holder that has ended never returns, so
    two states can be joined in any order and any number of times. Spend that holders were closed with by a
    build that does not store it is known as a sum only, of which the larger one is kept.
*/
bool join(ledger& target, const ledger& known);

} // namespace samphireway::escrow
