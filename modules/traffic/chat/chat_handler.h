#pragma once

#include "budget/budget.h"
#include "configuration/configuration.h"
#include "limits/limits.h"
#include "routing/routing.h"
#include "traffic/chat/attempt_runner.h"
#include "traffic/chat/chat_format.h"
#include "traffic/chat/chat_request.h"
#include "traffic/chat/request_outcome.h"
#include "traffic/server/authentication.h"
#include "traffic/stream/text_buffer.h"
#include "traffic/upstream/engine_call.h"

#include <functional>
#include <httplib.h>
#include <memory>

namespace samphireway::traffic {

/**
    Dependencies and limits of a chat handler. The hooks may be called from any thread.

    @see chat_handler
*/
struct chat_services {
    std::function<std::shared_ptr<const configuration::snapshot>()> configuration;
    /** Runs a call to an upstream on another thread; returns false at the limit of streams. */
    std::function<bool(std::function<void()>)> run_stream;
    /** Counts a request as in flight until the ticket is released; null during a planned stop. */
    std::function<std::shared_ptr<void>()> begin_request = [] {
        return std::make_shared<int>(0);
    };
    outcome_observer observe;
    budget::grant_pool* grant_pool = nullptr;
    reader_memory* memory = nullptr;
    attempt_services attempts; ///< How upstreams are chosen and called.
    chat_limits limits;
    std::chrono::milliseconds request_timeout{600000};
    std::chrono::milliseconds reserve_timeout{1500};
};

/**
    Serves `POST /v1/chat/completions`: authenticates the caller, reserves tokens, routes the request,
    relays the answer and settles the reservation.

    @see front_server
*/
class chat_handler {
public:
    explicit chat_handler(chat_services services);

    /** Serves one request. Called on a traffic thread. */
    void handle(const httplib::Request& request, httplib::Response& response);

private:
    struct exchange;

    core::result<std::shared_ptr<exchange>> open(const httplib::Request& request);
    void answer(const std::shared_ptr<exchange>& active, httplib::Response& response);
    bool relay(const std::shared_ptr<exchange>& active, httplib::DataSink& sink);
    static bool end_with_failure(const exchange& active, httplib::DataSink& sink, const core::error& failure);
    void run_upstream_side(exchange& active);
    void cancel_exchange(exchange& active);
    void settle_exchange(exchange& active, const engine_outcome& outcome);

    const chat_services services;
    const attempt_runner runner;
};

} // namespace samphireway::traffic
