#pragma once

#include "membership/messages/envelope.h"
#include "membership/rpc/json_rpc_transport.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace samphireway::membership {

/** Address and identity of a peer. @see peer_client */
struct peer_endpoint {
    peer_identity identity;
    std::string address; ///< IP address.
    int port = 0;
};

/** Results of the calls of one message, and the incarnation that answered. @see peer_client::call */
struct peer_answer {
    peer_identity responder;
    std::vector<Json::Value> results;
};

/** Options of a peer client. @see peer_client */
struct peer_client_options {
    std::chrono::milliseconds call_timeout{800}; ///< Shorter than the heartbeat interval of one second.
    std::size_t maximum_connections = 16; ///< Connections kept open; all are closed when one more is needed.
};

/**
    Sends signed messages to peers and checks their answers. For use by one thread.

    @see peer_server
*/
class peer_client {
public:
    peer_client(envelope_writer& writer, envelope_reader& reader, peer_client_options options = {});

    /**
        Sends several calls in one message and waits for the results.

        Fails with `platform_unavailable` and verdict `may_have_run` when no answer or an error answer
        was received, or as `envelope_reader::read_answer` does.
    */
    core::result<peer_answer> call(const peer_endpoint& endpoint, const std::vector<peer_call>& calls);

private:
    json_rpc_transport& connection(const peer_endpoint& endpoint);

    envelope_writer& writer;
    envelope_reader& reader;
    const peer_client_options options;
    std::map<std::string, std::unique_ptr<json_rpc_transport>> connections;
};

/** Name of the only JSON-RPC method, whose parameter is a signed message. @see peer_client */
inline constexpr const char* exchange_method = "exchange";

} // namespace samphireway::membership
