#pragma once

#include <json/json.h>
#include <memory>
#include <string>

namespace samphireway {
namespace membership {

/**
    Calls JSON-RPC methods of one peer over HTTP. For use by one thread.

    Its source file is compiled as C++14, because the client headers of libjsonrpccpp 0.7 use dynamic
    exception specifications, which C++17 removed. So this header must be valid C++14, too.

    @see peer_client
*/
class json_rpc_transport {
public:
    /**
        Prepares a connection that the first call opens. `timeout_ms` is the deadline of each whole
        call.
    */
    json_rpc_transport(const std::string& url, long timeout_ms);
    ~json_rpc_transport();
    json_rpc_transport(const json_rpc_transport&) = delete;
    json_rpc_transport& operator=(const json_rpc_transport&) = delete;

    /**
        Calls a method. Returns false and sets `failure` when no answer or an error answer was received.
    */
    bool call(const std::string& method, const Json::Value& parameters, Json::Value& result,
              std::string& failure);

private:
    class implementation;
    std::unique_ptr<implementation> state;
};

} // namespace membership
} // namespace samphireway
