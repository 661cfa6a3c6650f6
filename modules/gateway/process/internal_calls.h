#pragma once

#include "gateway/exchange/gateway_context.h"
#include "gateway/http/internal_server.h"

#include <functional>
#include <string>

namespace samphireway::gateway {

/**
    Answers the platform's readiness probes, requests for metrics, and other nodes' calls about loans.

    Other nodes prove with this process's token that they have read its registration. Traffic thread only.

    @see internal_server, budget_access
*/
class internal_calls {
public:
    internal_calls(const gateway_context& shared, std::string given_token);

    /** Returns the handler of the probe address. */
    internal_handler answer_probes() const;

    /** Returns the handler of the internal address. */
    internal_handler answer_nodes() const;

private:
    using answer_handler = std::function<void(internal_response)>;

    bool is_ready() const;
    bool is_authorized(const request_message& request) const;
    internal_response metrics_response() const;
    void lend(const request_message& request, const answer_handler& answer) const;
    void take_report(const request_message& request, const answer_handler& answer) const;

    const gateway_context& context;
    const std::string token;
};

} // namespace samphireway::gateway
