#pragma once

#include "gateway/exchange/attempt_policy.h"
#include "gateway/exchange/gateway_context.h"
#include "gateway/exchange/request_resolution.h"
#include "gateway/exchange/responder.h"
#include "gateway/exchange/response_disposition.h"
#include "gateway/http/event_splitter.h"

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace samphireway::gateway {

/**
    One request: finds its route, reserves its budget, sends it to upstreams and relays the response.

    The requester receives exactly one response, at the latest at the deadline. A refusal with status
    402, 408, 429 or 503 is sent only if no upstream can have run the request. Traffic thread only.

    @see front_session, decide_retry
*/
class exchange : public std::enable_shared_from_this<exchange> {
public:
    exchange(gateway_context& shared, request_message received, responder answer,
             core::steady_time arrived_at);

    /** Starts the exchange. The hooks of the responder may be called before this returns. */
    void start();

    /** Answers the request by a time, also if it has been sent and its response is still running. */
    void answer_by(core::steady_time latest);

    /** Ends the exchange because the requester closed its connection. */
    void on_requester_disconnected();

    /** Resumes reading from the upstream after all queued bytes were written to the requester. */
    void on_output_drained();

private:
    void reserve_budget();
    void refuse_for_budget(const core::error& cause);
    void begin_attempt();
    void send_to(const std::shared_ptr<const upstream>& target);
    response_owner on_head(const response_head& head);
    void on_body(std::string_view bytes);
    bool keep_bytes(std::size_t count);
    void forward_events(std::string_view bytes);
    void on_end(upstream_result result);
    void on_complete();
    void complete_stream();
    void fail_sent_attempt(std::string_view cause);
    void observe_attempt(bool is_error);
    bool has_quarantined_part() const;
    void refuse_quarantined();
    void on_attempt_failed(std::string_view cause);
    void release_upstream(bool is_reusable);
    void start_deadline_timer();
    void start_inactivity_timer();
    void start_stall_timer();
    void on_deadline();
    void on_inactivity();
    void on_stall();
    void refuse(const core::error& cause);
    void end_request(std::string_view outcome, unsigned status, std::string_view cause);
    void settle_budget();
    std::chrono::milliseconds time_left() const;

    gateway_context& context;
    const request_message request;
    const responder requester;
    const core::steady_time arrival;

    resolved_request resolved;
    attempt_history history;
    std::set<std::string> tried_upstreams;
    std::optional<budget_reservation> reservation;

    std::shared_ptr<const upstream> current_upstream;
    core::steady_time attempt_started;
    std::optional<core::steady_time> attempt_first_output; ///< First whole event of the current attempt.
    std::int64_t events_before_attempt = 0;
    bool is_attempt_observed = false; ///< Whether the current attempt's latencies were counted.
    std::shared_ptr<upstream_connection> connection;
    response_head head;
    response_disposition disposition = response_disposition::undecided;
    std::size_t received_body_bytes = 0; ///< Of the current attempt, if it is no stream.
    std::string body;
    event_splitter events;
    bool has_begun_stream = false;
    bool has_attempt_head = false;       ///< Whether the current attempt has the head of a success.
    bool is_attempt_framed = false;      ///< Whether that head says where the response ends.
    bool has_discarded_response = false; ///< Whether the current attempt got responses to other requests.
    bool is_reading_paused = false;
    bool is_finished = false;
    std::optional<core::steady_time> first_output;
    boost::asio::steady_timer deadline_timer;
    boost::asio::steady_timer inactivity_timer;
    boost::asio::steady_timer stall_timer;
};

} // namespace samphireway::gateway
