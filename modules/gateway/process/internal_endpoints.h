#pragma once

#include "gateway/exchange/gateway_context.h"
#include "gateway/http/internal_server.h"

#include <functional>
#include <string>

namespace samphireway::gateway {

/**
    Answers the platform's readiness probes, requests for metrics, and loan calls and loan reports of
    other nodes.

    Other nodes authenticate with this process's token, which they read from its registration. Traffic
    thread only.

    @see internal_server, budget_access
*/
class internal_endpoints {
public:
    internal_endpoints(const gateway_context& context_to_use, std::string token_to_use);

    /** Returns the handler for requests to the probe address: readiness and metrics. */
    internal_handler probe_handler() const;

    /** Returns the handler for requests to the internal address: loans, loan reports and metrics. */
    internal_handler node_handler() const;

private:
    using answer_handler = std::function<void(internal_response)>;

    bool is_ready() const;
    bool is_authorized(const request_message& request) const;
    internal_response metrics_response() const;
    void lend(const request_message& request, const answer_handler& answer) const;
    void apply_report(const request_message& request, const answer_handler& answer) const;

    const gateway_context& context;
    const std::string token;
};

} // namespace samphireway::gateway
