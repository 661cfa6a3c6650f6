#include "node/configuration/configuration_service.h"

#include "traffic/chat/chat_handler.h"

namespace samphireway::node {

namespace {

constexpr std::chrono::milliseconds not_ready_retry_after{1000};

/**
    Returns how many peers this node must catch up with before it serves: a majority of the configured
    seeds, or zero without seeds, so that the node waits for the platform.
*/
std::size_t catch_up_peers(const settings::node_settings& settings)
{
    const std::size_t seeds = settings.peers.seeds.size();
    return seeds == 0 ? 0 : seeds / 2 + 1;
}

} // namespace

configuration_service::configuration_service(const settings::node_settings& settings,
                                             const std::string& incarnation,
                                             platform::http_platform& platform,
                                             configuration::repository& repository, fleet_hooks hooks)
    : distributor(repository, {.catch_up_peers = catch_up_peers(settings), .self = settings.node.id}),
      follower(this->distributor, {.store = platform.make_object_store(), .on_change = {}}),
      peer_link({.settings = settings,
                 .incarnation = incarnation,
                 .store = platform.make_object_store(),
                 .read_vms = platform.make_vm_list(),
                 .requests_in_flight = std::move(hooks.requests_in_flight),
                 .on_version_fault = std::move(hooks.on_version_fault),
                 .on_move_evidence = std::move(hooks.on_move_evidence)},
                repository, this->distributor, this->leaving_set)
{
}

core::result<void> configuration_service::start()
{
    this->follower.start();
    return this->peer_link.start();
}

void configuration_service::stop()
{
    this->follower.stop();
    this->peer_link.stop();
}

void configuration_service::refuse_callers_until_ready(httplib::Server& callers)
{
    callers.set_pre_routing_handler([this](const httplib::Request& request, httplib::Response& response) {
        if (this->distributor.is_ready() || request.path == "/metrics") {
            return httplib::Server::HandlerResponse::Unhandled;
        }
        const core::error refusal{.code = core::error_code::overloaded,
                                  .message = "this node has not caught up with the newest configuration yet",
                                  .retry_after = not_ready_retry_after};
        traffic::write_error(response, refusal, core::random_identifier());
        return httplib::Server::HandlerResponse::Handled;
    });
}

Json::Value configuration_service::status() const
{
    Json::Value json = this->distributor.lag_report(std::chrono::steady_clock::now());
    json["ready"] = this->distributor.is_ready();
    json["peers"] = Json::Value(Json::objectValue);
    for (const auto& [id, record] : this->peer_link.view()) {
        json["peers"][id] = std::string(membership::to_string(record.state));
    }
    json["leaving_upstreams"] = Json::Value(Json::arrayValue);
    for (const std::string& id : *this->leaving_set.upstreams()) {
        json["leaving_upstreams"].append(id);
    }
    return json;
}

bool configuration_service::is_leaving(const std::string& upstream) const
{
    return this->leaving_set.upstreams()->contains(upstream);
}

peer_service& configuration_service::peers()
{
    return this->peer_link;
}

leaving_upstreams& configuration_service::leaving()
{
    return this->leaving_set;
}

} // namespace samphireway::node
