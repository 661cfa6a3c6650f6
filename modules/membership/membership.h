#pragma once

/**
    Membership module: signed peer messages over JSON-RPC, and the view of peers that a node derives
    from them. The view may be wrong or late, so no invariant may depend on it.
*/

#include "membership/messages/envelope.h"
#include "membership/messages/heartbeat.h"
#include "membership/rpc/peer_client.h"
#include "membership/rpc/peer_server.h"
#include "membership/view/membership_tracker.h"
#include "membership/view/peer_view.h"
