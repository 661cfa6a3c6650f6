#pragma once

#include "gateway/model/member.h"
#include "gateway/model/messages.h"

#include <string>

namespace samphireway::gateway {

/** Returns a call of another node's internal address, authenticated by the token of that node's entry. */
request_message make_peer_call(const member& peer, const std::string& path, std::string body);

} // namespace samphireway::gateway
