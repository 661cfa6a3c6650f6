#include "gateway/exchange/exchange.h"

#include "gateway/exchange/refusal.h"
#include "gateway/exchange/upstream_choice.h"

#include <algorithm>
#include <boost/algorithm/string/join.hpp>

namespace samphireway::gateway {

namespace {

using std::chrono::milliseconds;
using clock = std::chrono::steady_clock;

constexpr std::size_t maximum_buffered_response_bytes = 16U << 20U;
// A failure, or a response that is not passed on, has a short text. An upstream that sends more is faulty.
constexpr std::size_t maximum_failure_bytes = 256U << 10U;
// Events have some hundred bytes. An upstream that sends more without an event's end is faulty.
constexpr std::size_t maximum_event_bytes = 256U << 10U;
// Reading from the upstream pauses above this size, so that a slow requester cannot fill the memory.
constexpr std::size_t maximum_queued_bytes = 256U << 10U;
// Expected time until an upstream has capacity again: about one engine step of a full batch's requests.
constexpr milliseconds expected_capacity_delay{300};
// Outages of the object store last seconds, so the advice is long; it is cut to a third of the time left.
constexpr milliseconds expected_budget_delay{4000};
// The pace of a stream shows after this many events. Long streams of a slow version would else be judged only
// when they end, which may be after the roll-out.
constexpr std::int64_t events_to_judge = 8;
// A quarantined part is refused for minutes; the advice is cut to a third of the time left.
constexpr milliseconds quarantine_advice{60000};
// Of the requests that were served with at most one send, one of this many is logged.
constexpr std::int64_t successes_per_log_line = 16;
constexpr unsigned first_error_status = 400;
// Characters of the ids of a prompt's parts in a log line.
constexpr std::size_t maximum_logged_prompt = 256;

/** Returns whether a response says where it ends. Any other ends with its connection, so that a crash can
 * look like its end. */
bool has_framed_body(const response_head& head)
{
    return find_header(head.headers, "Content-Length") != nullptr ||
           find_header(head.headers, "Transfer-Encoding") != nullptr;
}

} // namespace

exchange::exchange(gateway_context& shared, request_message received, responder answer,
                   core::steady_time arrived_at)
    : context(shared), request(std::move(received)), requester(std::move(answer)), arrival(arrived_at),
      deadline_timer(shared.io), inactivity_timer(shared.io), stall_timer(shared.io)
{
}

void exchange::start()
{
    ++this->context.counts.requests_in_flight;
    const core::result<void> outcome =
        resolve_request(this->resolved, this->context, this->request, this->arrival);
    this->history.deadline = this->resolved.deadline;
    if (!outcome) {
        this->refuse(outcome.error());
        return;
    }
    if (this->has_quarantined_part()) {
        this->refuse_quarantined();
        return;
    }
    this->start_deadline_timer();
    this->reserve_budget();
}

bool exchange::has_quarantined_part() const
{
    const std::shared_ptr<const part_verdicts> verdicts = this->context.board.quarantine.read();
    return verdicts != nullptr && !verdicts->quarantined.empty() &&
           std::any_of(this->resolved.prompt_part_ids.begin(), this->resolved.prompt_part_ids.end(),
                       [&verdicts](const std::string& part) { return verdicts->quarantined.contains(part); });
}

void exchange::refuse_quarantined()
{
    this->refuse(core::error{.code = core::error_code::no_upstream,
                             .message = "a part of the prompt has crashed several upstreams",
                             .retry_after = quarantine_advice});
}

void exchange::reserve_budget()
{
    const std::int64_t tokens = this->resolved.facts.maximum_tokens();
    if (this->resolved.customer == nullptr || !this->resolved.customer->prepaid_tokens || tokens <= 0) {
        this->begin_attempt();
        return;
    }
    this->context.budget.reserve(this->resolved.customer->name, tokens, clock::now(), this->history.deadline,
                                 [self = this->shared_from_this()](core::result<budget_reservation> outcome) {
                                     if (self->is_finished) {
                                         if (outcome) {
                                             self->context.budget.settle(*outcome, 0);
                                         }
                                         return;
                                     }
                                     if (!outcome) {
                                         self->refuse_for_budget(outcome.error());
                                         return;
                                     }
                                     self->reservation = std::move(*outcome);
                                     self->begin_attempt();
                                 });
}

void exchange::refuse_for_budget(const core::error& cause)
{
    if (cause.code == core::error_code::budget_exhausted) {
        this->refuse(cause);
        return;
    }
    // The error may also be a missing account that was not created from the newest configuration yet.
    this->refuse(core::error{.code = core::error_code::budget_unavailable,
                             .message = cause.message,
                             .retry_after = expected_budget_delay});
}

void exchange::begin_attempt()
{
    if (this->has_quarantined_part()) {
        this->refuse_quarantined();
        return;
    }
    const std::optional<version_choice> versions =
        this->context.rollouts.choose(this->resolved.service_name, this->tried_upstreams.empty());
    const std::shared_ptr<const upstream> target =
        find_upstream(this->context,
                      upstream_search{.service_name = this->resolved.service_name,
                                      .tried = this->tried_upstreams,
                                      .prefix = this->resolved.prefix,
                                      .shared_tokens = this->resolved.shared_tokens,
                                      .selector = this->resolved.selector,
                                      .is_idempotent = is_idempotent(*this->resolved.matched_route),
                                      .versions = versions},
                      clock::now());
    if (target == nullptr) {
        const core::steady_time now = clock::now();
        const core::steady_time available =
            find_next_capacity(this->context, this->resolved.service_name, now).value_or(now);
        this->refuse(
            core::error{.code = core::error_code::no_upstream,
                        .message = "no upstream of the service can take the request",
                        .retry_after = std::max(expected_capacity_delay,
                                                std::chrono::duration_cast<milliseconds>(available - now))});
        return;
    }
    this->send_to(target);
}

void exchange::send_to(const std::shared_ptr<const upstream>& target)
{
    this->current_upstream = target;
    this->tried_upstreams.insert(target->id);
    this->disposition = response_disposition::undecided;
    this->received_body_bytes = 0;
    this->body.clear();
    this->context.loads.begin(target->id);
    const core::steady_time now = clock::now();
    this->context.limits.count(*target);
    this->context.brittle.count(*target);
    this->attempt_started = now;
    this->attempt_first_output.reset();
    this->has_attempt_head = false;
    this->is_attempt_observed = false;
    this->events_before_attempt = this->events.count();

    request_message message{.method = this->request.method,
                            .target = this->request.target,
                            .headers = this->request.headers,
                            .body = this->request.body};
    remove_connection_headers(message.headers);
    const int priority = this->resolved.customer != nullptr && this->resolved.customer->priority
                             ? *this->resolved.customer->priority
                             : this->resolved.matched_route->priority;
    this->context.dialect.write_request(
        message.headers,
        forwarding_facts{.time_left = this->time_left(),
                         .upstream_id = target->id,
                         .workspace = this->resolved.customer == nullptr ? "" : this->resolved.customer->name,
                         .priority = priority,
                         .last_event_id = this->events.last_id().empty() ? this->resolved.facts.last_event_id
                                                                         : this->events.last_id()});
    this->connection = this->context.pool.acquire(*target, now);
    while (this->connection->has_refused(this->resolved.facts.attempt_id)) {
        this->connection->close();
        this->connection = this->context.pool.acquire(*target, now);
    }
    this->has_discarded_response = false;
    this->start_inactivity_timer();
    this->start_stall_timer();
    const std::shared_ptr<exchange> self = this->shared_from_this();
    this->connection->send(
        message,
        upstream_hooks{.on_head = [self](const response_head& received) { return self->on_head(received); },
                       .on_body = [self](std::string_view bytes) { self->on_body(bytes); },
                       .on_end =
                           [self](upstream_result result) {
                               self->on_end(result);
                           }});
}

response_owner exchange::on_head(const response_head& received)
{
    const response_facts facts = this->context.dialect.read_response(received);
    // On a connection that served a request before, a refusal without an id may be a late copy of the
    // response to that request, and this request may be running.
    const bool is_refusal_without_id = facts.attempt_id.empty() && this->connection->is_new() &&
                                       !this->has_discarded_response &&
                                       (facts.is_not_run || facts.is_wrong_upstream);
    if (facts.attempt_id != this->resolved.facts.attempt_id && !is_refusal_without_id) {
        this->has_discarded_response = true;
        core::log_event(core::log_level::warning, "response_discarded",
                        {{"request", this->resolved.facts.attempt_id},
                         {"upstream", this->current_upstream->id},
                         {"echoed", facts.attempt_id},
                         {"status", received.status}});
        return response_owner::earlier_request;
    }
    this->disposition =
        classify_response(this->resolved.matched_route->kind, received, facts, this->has_begun_stream);
    if (facts.is_leaving) {
        this->context.notices.record_leaving(*this->current_upstream);
    }
    if (facts.pause) {
        this->context.notices.record_pause(*this->current_upstream, clock::now() + *facts.pause);
    }
    if (facts.limit) {
        this->context.limits.record(*this->current_upstream, *facts.limit);
    }
    else if (!facts.names_limit && received.status / 100 == 2) {
        this->context.limits.record_none(*this->current_upstream);
    }
    if (facts.refusals_per_second) {
        this->context.brittle.record(*this->current_upstream, *facts.refusals_per_second);
    }
    else if (!facts.names_brittle && received.status / 100 == 2) {
        this->context.brittle.record_none(*this->current_upstream);
    }
    this->has_attempt_head = received.status / 100 == 2;
    this->is_attempt_framed = has_framed_body(received);
    if (!this->has_begun_stream) {
        this->head = received;
    }
    return response_owner::this_request;
}

void exchange::on_body(std::string_view bytes)
{
    if (this->disposition == response_disposition::forward_stream) {
        this->forward_events(bytes);
        return;
    }
    this->start_inactivity_timer();
    const bool is_forwarded = this->disposition == response_disposition::forward_whole;
    const bool is_success = is_forwarded && this->head.status < first_error_status;
    this->received_body_bytes += bytes.size();
    if (this->received_body_bytes > (is_success ? maximum_buffered_response_bytes : maximum_failure_bytes)) {
        this->fail_sent_attempt("response_too_large");
        return;
    }
    if (is_forwarded && this->keep_bytes(this->received_body_bytes)) {
        this->body += bytes;
    }
}

bool exchange::keep_bytes(std::size_t count)
{
    if (count == 0) {
        this->context.responses.release(this);
        return true;
    }
    const auto give_up = [kept = this->weak_from_this()] {
        if (const std::shared_ptr<exchange> self = kept.lock()) {
            self->fail_sent_attempt("response_memory_full");
        }
    };
    if (this->context.responses.keep(this, count, give_up)) {
        return true;
    }
    give_up();
    return false;
}

void exchange::forward_events(std::string_view bytes)
{
    const std::int64_t events_before = this->events.count();
    std::string complete_events = this->events.feed(bytes);
    if (this->events.partial().size() > maximum_event_bytes) {
        this->fail_sent_attempt("event_too_large");
        return;
    }
    if (!this->keep_bytes(this->events.partial().size())) {
        return;
    }
    // Only a whole event is progress: an upstream that sends a byte or a comment now and then has stalled.
    if (this->events.count() > events_before) {
        this->start_inactivity_timer();
        this->start_stall_timer();
    }
    if (this->attempt_first_output && this->events.count() >= this->events_before_attempt + events_to_judge) {
        this->observe_attempt(false);
    }
    if (complete_events.empty()) {
        return;
    }
    if (!this->attempt_first_output) {
        this->attempt_first_output = clock::now();
        this->context.brittle.record_accepted(*this->current_upstream, this->attempt_started);
    }
    if (!this->has_begun_stream) {
        this->has_begun_stream = true;
        this->history.has_begun_stream = true;
        this->first_output = clock::now();
        remove_connection_headers(this->head.headers);
        this->requester.begin_stream(this->head);
    }
    this->requester.send_part(std::move(complete_events));
    if (!this->is_finished && this->requester.queued_bytes() > maximum_queued_bytes) {
        this->is_reading_paused = true;
        this->connection->pause_reading();
    }
}

void exchange::on_output_drained()
{
    if (this->is_reading_paused && this->connection != nullptr) {
        this->is_reading_paused = false;
        this->connection->resume_reading();
    }
}

void exchange::on_end(upstream_result result)
{
    this->inactivity_timer.cancel();
    if (result == upstream_result::not_connected) {
        ++this->history.failed_connects;
        if (this->connection->has_helper_failed()) {
            // Another node may reach the same upstream.
            this->tried_upstreams.erase(this->current_upstream->id);
            this->on_attempt_failed("no_tunnel");
            return;
        }
        this->context.health.record_failure(this->current_upstream->id, true, clock::now());
        this->context.pool.drop(this->current_upstream->id);
        this->on_attempt_failed("not_connected");
        return;
    }
    if (result == upstream_result::broken && this->connection->is_tunnelled()) {
        // The helper may have failed, which says nothing of the upstream.
        ++this->history.sends;
        this->history.may_have_run = true;
        this->on_attempt_failed("tunnel_broken");
        return;
    }
    if (result == upstream_result::broken) {
        this->context.crashes.check(*this->current_upstream, this->resolved.prompt_part_ids);
        this->fail_sent_attempt("broken");
        return;
    }
    if (this->disposition == response_disposition::forward_stream && !this->events.partial().empty()) {
        this->fail_sent_attempt("ended_inside_event");
        return;
    }
    ++this->history.sends;
    this->on_complete();
}

void exchange::on_complete()
{
    const core::steady_time now = clock::now();
    const response_facts facts = this->context.dialect.read_response(this->head);
    if (this->disposition == response_disposition::not_run) {
        this->connection->record_refusal(this->resolved.facts.attempt_id);
        if (facts.is_wrong_upstream) {
            this->context.health.record_failure(this->current_upstream->id, true, now);
        }
        else {
            this->context.loads.mark_full(this->current_upstream->id, now);
            this->context.brittle.record_refused(*this->current_upstream);
        }
        this->release_upstream(true);
        this->on_attempt_failed("refused_by_upstream");
        return;
    }
    this->history.may_have_run = true;
    if (this->has_attempt_head) {
        this->context.brittle.record_accepted(*this->current_upstream, this->attempt_started);
    }
    if (this->disposition == response_disposition::unusable) {
        this->context.health.record_failure(this->current_upstream->id, false, now);
        this->observe_attempt(true);
        this->on_attempt_failed("unusable_response");
        return;
    }
    this->context.health.record_success(this->current_upstream->id);
    ++this->context.counts.attempt_results["complete"];
    if (this->has_attempt_head && this->is_attempt_framed) {
        this->context.answered.add(this->resolved.prompt_part_ids);
    }
    this->observe_attempt(this->head.status / 100 == 5);
    if (this->disposition == response_disposition::forward_stream) {
        this->release_upstream(true);
        this->complete_stream();
        return;
    }
    const bool is_failure = this->head.status / 100 == 5;
    if (is_failure &&
        decide_retry(*this->resolved.matched_route, this->history, now) == retry_decision::needs_budget &&
        this->context.retries.has_retry(this->resolved.service_name)) {
        this->release_upstream(true);
        this->on_attempt_failed("failed_by_upstream");
        return;
    }
    this->release_upstream(true);
    remove_connection_headers(this->head.headers);
    this->first_output = now;
    const unsigned status = this->head.status;
    const std::shared_ptr<exchange> self = this->shared_from_this();
    this->end_request(status < first_error_status ? "served" : "failed_by_upstream", status, "");
    this->requester.send_whole(this->head, this->body);
}

void exchange::complete_stream()
{
    if (!this->has_begun_stream) {
        remove_connection_headers(this->head.headers);
        this->requester.begin_stream(this->head);
        this->has_begun_stream = true;
    }
    const std::shared_ptr<exchange> self = this->shared_from_this();
    this->end_request("served", this->head.status, "");
    this->requester.end_stream();
}

void exchange::fail_sent_attempt(std::string_view cause)
{
    ++this->history.sends;
    this->history.may_have_run = true;
    this->context.health.record_failure(this->current_upstream->id, false, clock::now());
    this->observe_attempt(true);
    this->on_attempt_failed(cause);
}

void exchange::observe_attempt(bool is_error)
{
    if (this->is_attempt_observed && !is_error) {
        return;
    }
    this->is_attempt_observed = true;
    const core::steady_time now = clock::now();
    moves::sample observed{.is_error = is_error};
    if (!is_error) {
        const core::steady_time first = this->attempt_first_output.value_or(now);
        const std::int64_t gaps = this->events.count() - this->events_before_attempt - 1;
        observed.first_token =
            std::chrono::duration_cast<std::chrono::microseconds>(first - this->attempt_started);
        if (gaps > 0) {
            observed.mean_gap = std::chrono::duration_cast<std::chrono::microseconds>(now - first) / gaps;
        }
    }
    this->context.rollouts.observe(*this->current_upstream, this->resolved.matched_route->name, observed);
}

void exchange::on_attempt_failed(std::string_view cause)
{
    const std::shared_ptr<exchange> self = this->shared_from_this();
    this->inactivity_timer.cancel();
    this->stall_timer.cancel();
    ++this->context.counts.attempt_results[std::string(cause)];
    core::log_event(
        core::log_level::info, "attempt_failed",
        {{"request", this->resolved.facts.attempt_id},
         {"upstream", this->current_upstream->id},
         {"cause", cause},
         {"status", this->head.status},
         {"sends", this->history.sends},
         {"has_head", this->has_attempt_head},
         {"events", this->events.count()},
         {"prompt",
          boost::algorithm::join(this->resolved.prompt_part_ids, ",").substr(0, maximum_logged_prompt)},
         {"time_left_ms", this->time_left().count()}});
    this->release_upstream(false);
    this->events.discard_partial();
    retry_decision next = decide_retry(*this->resolved.matched_route, this->history, clock::now());
    if (next == retry_decision::needs_budget && !this->context.retries.spend(this->resolved.service_name)) {
        next = retry_decision::forbidden;
    }
    if (next != retry_decision::forbidden) {
        this->context.counts.retries += this->history.sends > 0 ? 1 : 0;
        this->context.counts.resumed_streams += this->history.has_begun_stream ? 1 : 0;
        this->begin_attempt();
        return;
    }
    this->refuse(core::error{.code = core::error_code::no_upstream,
                             .message = "the last attempt to get a response from an upstream failed: " +
                                        std::string(cause),
                             .retry_after = expected_capacity_delay});
}

void exchange::release_upstream(bool is_reusable)
{
    if (this->connection == nullptr) {
        return;
    }
    this->context.loads.end(this->current_upstream->id);
    this->context.responses.release(this);
    const std::shared_ptr<upstream_connection> ended = std::move(this->connection);
    this->connection = nullptr;
    if (is_reusable) {
        this->context.pool.release(this->current_upstream->id, ended, clock::now());
        return;
    }
    this->context.brittle.record_abandoned(*this->current_upstream);
    ended->close();
}

void exchange::answer_by(core::steady_time latest)
{
    if (!this->is_finished && latest < this->history.deadline) {
        this->history.deadline = latest;
        this->start_deadline_timer();
    }
}

void exchange::start_deadline_timer()
{
    this->deadline_timer.expires_at(this->history.deadline);
    this->deadline_timer.async_wait([self = this->shared_from_this()](boost::system::error_code failure) {
        if (!failure && !self->is_finished) {
            self->on_deadline();
        }
    });
}

void exchange::start_inactivity_timer()
{
    if (!is_idempotent(*this->resolved.matched_route)) {
        return;
    }
    this->inactivity_timer.expires_after(
        inactivity_timeout(*this->resolved.matched_route, this->has_begun_stream));
    this->inactivity_timer.async_wait([self = this->shared_from_this()](boost::system::error_code failure) {
        if (!failure && !self->is_finished && self->connection != nullptr) {
            self->on_inactivity();
        }
    });
}

void exchange::on_inactivity()
{
    if (this->is_reading_paused) {
        return;
    }
    attempt_history after = this->history;
    ++after.sends;
    after.may_have_run = true;
    const bool may_retry =
        decide_retry(*this->resolved.matched_route, after, clock::now()) == retry_decision::needs_budget &&
        this->context.retries.has_retry(this->resolved.service_name);
    if (!may_retry) {
        return; // The response may still come before the deadline.
    }
    this->fail_sent_attempt("silent");
}

void exchange::start_stall_timer()
{
    if (this->resolved.matched_route->kind != route_kind::stream) {
        return;
    }
    this->stall_timer.expires_after(stall_timeout(*this->resolved.matched_route));
    this->stall_timer.async_wait([self = this->shared_from_this()](boost::system::error_code failure) {
        if (!failure && !self->is_finished && self->connection != nullptr) {
            self->on_stall();
        }
    });
}

void exchange::on_stall()
{
    if (this->is_reading_paused) {
        this->start_stall_timer(); // The requester reads slowly; the upstream may be sound.
        return;
    }
    this->fail_sent_attempt("stalled");
}

void exchange::on_deadline()
{
    const bool is_sent = this->connection != nullptr;
    if (is_sent) {
        this->context.health.record_failure(this->current_upstream->id, false, clock::now());
        this->observe_attempt(true);
    }
    this->history.may_have_run = this->history.may_have_run || is_sent;
    this->refuse(core::error{.code = core::error_code::upstream_timeout,
                             .message = "no upstream responded before the deadline",
                             .retry_after = expected_capacity_delay});
}

void exchange::refuse(const core::error& cause)
{
    if (this->is_finished) {
        return;
    }
    const std::shared_ptr<exchange> self = this->shared_from_this();
    core::error final_cause = cause;
    final_cause.run = this->history.may_have_run ? core::verdict::may_have_run : core::verdict::not_run;
    const bool is_server_side = core::http_status(cause.code) >= 500;
    if (is_server_side && this->history.may_have_run) {
        final_cause.code =
            cause.code == core::error_code::upstream_timeout ? cause.code : core::error_code::upstream_failed;
    }
    else if (cause.code == core::error_code::upstream_timeout) {
        // No upstream has received the request, so the refusal may promise that it has not run.
        final_cause.code = core::error_code::overloaded;
    }
    const milliseconds advice =
        retry_after(std::max(cause.retry_after, milliseconds(10)),
                    std::max(this->time_left(), milliseconds(0)), this->resolved.selector);
    const response_head refusal = make_refusal_head(final_cause, advice);
    const bool had_begun_stream = this->has_begun_stream;
    this->end_request(had_begun_stream ? "broken_off" : "refused", refusal.status, final_cause.message);
    if (had_begun_stream) {
        this->requester.abort();
        return;
    }
    this->requester.send_whole(refusal, make_refusal_body(final_cause));
}

void exchange::on_requester_disconnected()
{
    if (this->is_finished) {
        return;
    }
    const std::shared_ptr<exchange> self = this->shared_from_this();
    const bool is_slow = this->connection != nullptr && !this->attempt_first_output &&
                         clock::now() >= this->attempt_started + this->resolved.matched_route->target_latency;
    if (is_slow) {
        this->observe_attempt(false); // A slow version must not look sound because its requesters leave.
    }
    this->history.may_have_run = this->history.may_have_run || this->connection != nullptr;
    this->end_request("requester_left", 0, "the requester closed its connection");
}

void exchange::end_request(std::string_view outcome, unsigned status, std::string_view cause)
{
    const core::steady_time now = clock::now();
    this->is_finished = true;
    this->deadline_timer.cancel();
    this->inactivity_timer.cancel();
    this->stall_timer.cancel();
    this->release_upstream(false);
    this->settle_budget();
    counters& counts = this->context.counts;
    --counts.requests_in_flight;
    ++counts.outcomes[std::string(outcome)];
    const auto duration = std::chrono::duration_cast<std::chrono::microseconds>(now - this->arrival);
    counts.request_duration.add(duration);
    if (this->first_output) {
        counts.time_to_first_output.add(
            std::chrono::duration_cast<std::chrono::microseconds>(*this->first_output - this->arrival));
    }
    const bool is_served_by_single_send = outcome == "served" && this->history.sends <= 1;
    if (!this->resolved.service_name.empty()) {
        this->context.retries.earn(this->resolved.service_name);
    }
    if (is_served_by_single_send && this->resolved.selector % successes_per_log_line != 0) {
        return;
    }
    core::log_event(
        core::log_level::info, "request_ended",
        {{"request", this->resolved.facts.attempt_id},
         {"route", this->resolved.matched_route == nullptr ? "" : this->resolved.matched_route->name},
         {"workspace", this->resolved.customer == nullptr ? "" : this->resolved.customer->name},
         {"outcome", outcome},
         {"status", status},
         {"cause", cause},
         {"upstream", this->current_upstream == nullptr ? "" : this->current_upstream->id},
         {"sends", this->history.sends},
         {"events", this->events.count()},
         {"took_ms", duration.count() / 1000},
         {"configuration", this->resolved.table == nullptr
                               ? 0
                               : static_cast<long long>(this->resolved.table->source().version)}});
}

void exchange::settle_budget()
{
    if (!this->reservation) {
        return;
    }
    // A workspace is charged by what it received: nothing if no event and no whole response was sent to it.
    const bool is_stream = this->resolved.matched_route->kind == route_kind::stream;
    const std::int64_t delivered = is_stream
                                       ? std::min(this->resolved.facts.maximum_output_tokens,
                                                  this->events.count() * this->resolved.tokens_per_event)
                                       : this->resolved.facts.maximum_output_tokens;
    const std::int64_t used = this->first_output ? this->resolved.facts.prompt_tokens + delivered : 0;
    this->context.budget.settle(*this->reservation, used);
    this->reservation.reset();
}

milliseconds exchange::time_left() const
{
    return std::chrono::duration_cast<milliseconds>(this->history.deadline - clock::now());
}

} // namespace samphireway::gateway
