#include "membership/rpc/json_rpc_transport.h"

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/client/connectors/httpclient.h>

namespace samphireway {
namespace membership {

class json_rpc_transport::implementation {
public:
    implementation(const std::string& url, long timeout_ms) : connector(url), client(this->connector)
    {
        this->connector.SetTimeout(timeout_ms);
        // Keeps libcurl from sending `Expect: 100-continue` before a larger body, which costs a round trip.
        this->connector.AddHeader("Expect", "");
    }

    jsonrpc::HttpClient connector;
    jsonrpc::Client client;
};

json_rpc_transport::json_rpc_transport(const std::string& url, long timeout_ms)
    : state(new implementation(url, timeout_ms))
{
}

json_rpc_transport::~json_rpc_transport() = default;

bool json_rpc_transport::call(const std::string& method, const Json::Value& parameters, Json::Value& result,
                              std::string& failure)
{
    try {
        result = this->state->client.CallMethod(method, parameters);
        return true;
    }
    catch (const std::exception& exception) {
        failure = exception.what();
        return false;
    }
}

} // namespace membership
} // namespace samphireway
