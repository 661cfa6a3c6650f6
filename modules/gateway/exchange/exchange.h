#pragma once

#include "gateway/exchange/attempt_policy.h"
#include "gateway/exchange/gateway_context.h"
#include "gateway/exchange/request_resolution.h"
#include "gateway/exchange/responder.h"
#include "gateway/exchange/response_use.h"
#include "gateway/http/event_splitter.h"

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace samphireway::gateway {

/**
    One request of a requester: finds its route, reserves its budget, sends it to upstreams and answers.

    Exactly one response goes to the requester, at the deadline at the latest. A refusal with status 402, 408,
    429 or 503 is sent only when no upstream can have run the request. Traffic thread only.

    @see front_session, may_try_again
*/
class exchange : public std::enable_shared_from_this<exchange> {
public:
    exchange(gateway_context& shared, request_message received, responder answer,
             core::steady_time arrived_at);

    /** Starts; the hooks of the responder may be called before this returns. */
    void start();

    /** Ends the exchange: the requester closed its connection. */
    void requester_left();

    /** Goes on reading after the requester has taken queued bytes. */
    void output_drained();

private:
    void reserve_budget();
    void refuse_for_budget(const core::error& cause);
    void begin_attempt();
    void send_to(const std::shared_ptr<const upstream>& target);
    response_owner on_head(const response_head& head);
    void on_body(std::string_view bytes);
    void pass_events(std::string_view bytes);
    void on_end(upstream_result result);
    void on_complete();
    void complete_stream();
    void attempt_failed(std::string_view cause);
    void release_upstream(bool is_reusable);
    void arm_deadline();
    void arm_silence();
    void on_deadline();
    void on_silence();
    void refuse(const core::error& cause);
    void finish(std::string_view outcome, unsigned status, std::string_view cause);
    void settle_budget();
    std::chrono::milliseconds time_left() const;

    gateway_context& context;
    const request_message request;
    const responder requester;
    const core::steady_time arrival;

    resolved_request resolved;
    attempt_history history;
    std::set<std::string> tried;
    std::optional<held_budget> reserved;

    std::shared_ptr<const upstream> current;
    std::shared_ptr<upstream_connection> connection;
    response_head head;
    response_use use = response_use::undecided;
    std::string body;
    event_splitter events;
    bool has_begun_stream = false;
    bool is_reading_paused = false;
    bool is_finished = false;
    std::optional<core::steady_time> first_output;
    boost::asio::steady_timer deadline_timer;
    boost::asio::steady_timer silence_timer;
};

} // namespace samphireway::gateway
