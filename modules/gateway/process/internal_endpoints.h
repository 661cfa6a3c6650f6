#pragma once

#include "gateway/exchange/gateway_context.h"
#include "gateway/http/internal_server.h"
#include "gateway/relay/relay_hub.h"

#include <functional>
#include <string>

namespace samphireway::gateway {

/**
    Answers the platform's readiness probes, requests for metrics, and loan calls, loan reports and polls
    of other nodes.

    Other nodes authenticate with this process's token, which they read from its registration. Traffic
    thread only.

    @see internal_server, budget_access
*/
class internal_endpoints {
public:
    /** Answers a poll of another node, at once or later, on the traffic thread. */
    using poll_handler = std::function<void(const relay_poll& poll,
                                            std::function<void(core::result<encoded_reply>)> on_reply)>;

    internal_endpoints(const gateway_context& context_to_use, std::string token_to_use,
                       poll_handler on_poll_to_use);

    /** Returns the handler for requests to the probe address: readiness and metrics. */
    internal_handler probe_handler() const;

    /** Returns the handler for requests to the internal address: loans, loan reports, polls and metrics. */
    internal_handler node_handler() const;

    /** Returns whether a call shows this process's token. */
    bool is_authorized(const request_message& request) const;

private:
    using answer_handler = std::function<void(internal_response)>;

    bool is_ready() const;
    internal_response metrics_response() const;
    void lend(const request_message& request, const answer_handler& answer) const;
    void apply_report(const request_message& request, const answer_handler& answer) const;

    void answer_poll(const request_message& request, const answer_handler& answer) const;
    void receive_rollout_report(const request_message& request, const answer_handler& answer) const;

    const gateway_context& context;
    const std::string token;
    const poll_handler on_poll;
};

} // namespace samphireway::gateway
