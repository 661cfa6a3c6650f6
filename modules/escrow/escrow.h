#pragma once

/**
    Escrow module: ledgers of accounts whose limits must not be exceeded, and the grants that nodes
    draw from them.
*/

#include "escrow/holder/grant_holder.h"
#include "escrow/ledger/account_changes.h"
#include "escrow/ledger/ledger.h"
#include "escrow/ledger/ledger_client.h"
#include "escrow/ledger/ledger_join.h"
