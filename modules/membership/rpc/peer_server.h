#pragma once

#include "membership/messages/envelope.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace samphireway::membership {

/**
    Handler of a peer's call, which returns the result. Runs on a server thread and must not wait for
    peers.
*/
using peer_method = std::function<Json::Value(const peer_identity& sender, const Json::Value& parameters)>;

/** Options of a peer server. @see peer_server */
struct peer_server_options {
    std::string address;                        ///< IP address.
    int port = 0;                               ///< 0 binds a free port.
    std::size_t threads = 16;                   ///< Each open connection occupies one thread.
    std::size_t maximum_body_bytes = 2U << 20U; ///< Fits an object of 1 MB and the message around it.
};

/**
    Serves messages of peers: JSON-RPC by libjsonrpccpp over HTTP.

    The HTTP server of libjsonrpccpp listens on every address of the VM. So this class uses cpp-httplib
    instead, and binds it to the address of the options only.

    @see peer_client
*/
class peer_server {
public:
    peer_server(const peer_server_options& options, envelope_writer& writer, envelope_reader& reader);
    ~peer_server();
    peer_server(const peer_server&) = delete;
    peer_server& operator=(const peer_server&) = delete;

    /** Sets the handler of a method. Call before `start`. */
    void add_method(const std::string& name, peer_method method);

    /** Binds the address and serves. Fails with `invalid_argument` when the address cannot be bound. */
    core::result<void> start();

    /** Returns the port that `start` has bound. */
    int port() const;

    /** Stops serving. Idempotent. */
    void stop();

    /**
        Checks a message, runs its calls and returns the signed answer. The result of an unknown method
        is null. Fails as `envelope_reader::read` does.
    */
    core::result<Json::Value> handle(const Json::Value& message);

private:
    class implementation;

    envelope_writer& writer;
    envelope_reader& reader;
    std::map<std::string, peer_method> methods;
    std::unique_ptr<implementation> state;
};

} // namespace samphireway::membership
