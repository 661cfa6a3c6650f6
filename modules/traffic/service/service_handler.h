#pragma once

#include "traffic/chat/chat_handler.h"
#include "traffic/idempotency/idempotency_store.h"
#include "traffic/upstream/service_call.h"

namespace samphireway::traffic {

/** Dependencies and limits of a service handler. @see service_handler */
struct service_handler_services {
    std::function<std::shared_ptr<const configuration::snapshot>()> configuration;
    attempt_services attempts;
    /** Counts a call as in flight until the ticket is released; null during a planned stop. */
    std::function<std::shared_ptr<void>()> begin_request = [] {
        return std::make_shared<int>(0);
    };
    const idempotency_store* records = nullptr;
    std::chrono::milliseconds request_timeout{600000};
};

/**
    Serves `/services/<name>/<path>`: routes a call to a plain service that the plan may use.

    An idempotent call is retried within the retry budget. A call that is not idempotent needs an
    `Idempotency-Key` header; it is sent at most once, on a fresh connection, after its record has been
    created.

    @see idempotency_store
*/
class service_handler {
public:
    explicit service_handler(service_handler_services services);

    /** Serves one call. Called on a traffic thread. */
    void handle(const httplib::Request& request, httplib::Response& response);

private:
    struct service_exchange;

    core::result<service_answer> forward(const httplib::Request& request, const std::string& request_id);
    core::result<service_answer> run_idempotent(service_exchange& exchange) const;
    core::result<service_answer> run_at_most_once(service_exchange& exchange,
                                                  const idempotent_call& call) const;
    core::result<limits::slot> admit(const service_exchange& exchange) const;
    core::result<service_answer> attempt(const service_exchange& exchange, const limits::slot& slot,
                                         bool needs_fresh_connection) const;

    const service_handler_services services;
};

/**
    Returns whether a call is idempotent: it is not a `POST`, or its path starts with one of the
    upstream's `idempotent_prefixes`.
*/
bool is_idempotent_call(const configuration::upstream& upstream, const std::string& method,
                        const std::string& path);

} // namespace samphireway::traffic
