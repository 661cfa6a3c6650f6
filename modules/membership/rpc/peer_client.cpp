#include "membership/rpc/peer_client.h"

namespace samphireway::membership {

namespace {

std::string url_of(const peer_endpoint& endpoint)
{
    return "http://" + endpoint.address + ":" + std::to_string(endpoint.port);
}

} // namespace

peer_client::peer_client(envelope_writer& writer_to_use, envelope_reader& reader_to_use,
                         peer_client_options options_to_use)
    : writer(writer_to_use), reader(reader_to_use), options(options_to_use)
{
}

json_rpc_transport& peer_client::connection(const peer_endpoint& endpoint)
{
    const std::string url = url_of(endpoint);
    const auto found = this->connections.find(url);
    if (found != this->connections.end()) {
        return *found->second;
    }
    if (this->connections.size() >= this->options.maximum_connections) {
        this->connections.clear();
    }
    auto created = std::make_unique<json_rpc_transport>(url, this->options.call_timeout.count());
    return *this->connections.emplace(url, std::move(created)).first->second;
}

core::result<peer_answer> peer_client::call(const peer_endpoint& endpoint,
                                            const std::vector<peer_call>& calls)
{
    const Json::Value message = this->writer.write(endpoint.identity, calls);
    Json::Value parameters(Json::objectValue);
    parameters["m"] = message;
    Json::Value answer;
    std::string failure;
    if (!this->connection(endpoint).call(exchange_method, parameters, answer, failure)) {
        // A failed connection may stay unresponsive while new ones work, so the next call opens a new one.
        this->connections.erase(url_of(endpoint));
        return core::failure(core::error_code::platform_unavailable,
                             "peer " + endpoint.identity.id + ": call failed: " + failure,
                             core::verdict::may_have_run);
    }
    peer_answer accepted;
    core::result<std::vector<Json::Value>> results =
        this->reader.read_answer(answer, message, accepted.responder);
    if (!results) {
        return tl::unexpected(results.error());
    }
    accepted.results = std::move(*results);
    return accepted;
}

} // namespace samphireway::membership
