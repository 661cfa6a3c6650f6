#include "gateway/http/peer_call.h"

namespace samphireway::gateway {

request_message make_peer_call(const member& peer, const std::string& path, std::string body)
{
    return request_message{.method = "POST",
                           .target = path,
                           .headers = {{"Host", peer.address},
                                       {"Authorization", "Bearer " + peer.token},
                                       {"Content-Type", "application/json"}},
                           .body = std::move(body)};
}

} // namespace samphireway::gateway
