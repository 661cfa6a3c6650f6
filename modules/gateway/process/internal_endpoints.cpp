#include "gateway/process/internal_endpoints.h"

#include "gateway/budget/loan_messages.h"
#include "gateway/process/gateway_metrics.h"

#include <map>

namespace samphireway::gateway {

namespace {

const std::string metrics_path = "/metrics";
constexpr unsigned status_ok = 200;
constexpr unsigned status_bad_request = 400;
constexpr unsigned status_unauthorized = 401;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_unavailable = 503;

} // namespace

internal_endpoints::internal_endpoints(const gateway_context& context_to_use, std::string token_to_use,
                                       poll_handler on_poll_to_use)
    : context(context_to_use), token(std::move(token_to_use)), on_poll(std::move(on_poll_to_use))
{
}

internal_handler internal_endpoints::probe_handler() const
{
    return [this](const request_message& request, const answer_handler& answer) {
        if (request.target == metrics_path) {
            answer(this->metrics_response());
            return;
        }
        answer(internal_response{.status = this->is_ready() ? status_ok : status_unavailable});
    };
}

internal_handler internal_endpoints::node_handler() const
{
    return [this](const request_message& request, const answer_handler& answer) {
        if (request.target == metrics_path) {
            answer(this->metrics_response());
            return;
        }
        const std::map<std::string,
                       void (internal_endpoints::*)(const request_message&, const answer_handler&) const>
            calls{{loan_path, &internal_endpoints::lend},
                  {loan_report_path, &internal_endpoints::apply_report},
                  {relay_path, &internal_endpoints::answer_poll},
                  {rollout_report_path, &internal_endpoints::receive_rollout_report}};
        const auto call = calls.find(request.target);
        if (request.method != "POST" || call == calls.end()) {
            answer(internal_response{.status = status_not_found});
            return;
        }
        if (!this->is_authorized(request)) {
            answer(internal_response{.status = status_unauthorized});
            return;
        }
        (this->*call->second)(request, answer);
    };
}

bool internal_endpoints::is_ready() const
{
    return !this->context.drain.is_draining() && this->context.board.routes.read() != nullptr &&
           this->context.board.upstreams.read() != nullptr && this->context.rollouts.is_informed();
}

bool internal_endpoints::is_authorized(const request_message& request) const
{
    const std::string* const authorization = find_header(request.headers, "Authorization");
    return authorization != nullptr && core::equal_in_constant_time(*authorization, "Bearer " + this->token);
}

internal_response internal_endpoints::metrics_response() const
{
    const std::shared_ptr<const upstream_table> published = this->context.board.upstreams.read();
    const upstream_table none;
    return internal_response{.body = write_metrics(this->context.counts, published ? *published : none,
                                                   this->context.pool.opened(), this->context.health,
                                                   this->context.rollouts, this->context.limits,
                                                   this->context.brittle),
                             .content_type = "text/plain; version=0.0.4"};
}

void internal_endpoints::lend(const request_message& request, const answer_handler& answer) const
{
    const core::result<loan_call> call = parse_loan_call(request.body);
    if (!call) {
        answer(internal_response{.status = status_bad_request, .body = call.error().message});
        return;
    }
    this->context.budget.lend(
        *call, std::chrono::steady_clock::now(),
        [this, answer, call = *call](const core::result<void>& lent) {
            const int status = lent ? static_cast<int>(status_ok) : core::http_status(lent.error().code);
            core::log_event(lent ? core::log_level::debug : core::log_level::info, "loan",
                            {{"borrower", call.borrower},
                             {"workspace", call.workspace},
                             {"tokens", call.tokens},
                             {"status", status}});
            const bool has_contact = this->context.budget.can_draw();
            answer(internal_response{.status = static_cast<unsigned>(status),
                                     .headers = {{ledger_contact_header, has_contact ? "yes" : "no"}}});
        });
}

void internal_endpoints::answer_poll(const request_message& request, const answer_handler& answer) const
{
    const core::result<relay_poll> poll = parse_relay_poll(request.body);
    if (!poll) {
        answer(internal_response{.status = status_bad_request, .body = poll.error().message});
        return;
    }
    this->on_poll(*poll, [answer](core::result<encoded_reply> reply) {
        if (!reply) {
            answer(internal_response{.status = static_cast<unsigned>(core::http_status(reply.error().code)),
                                     .body = reply.error().message});
            return;
        }
        answer(internal_response{.body = std::move(reply->news),
                                 .content_type = "application/octet-stream",
                                 .headers = {{relay_status_header, std::move(reply->status)}}});
    });
}

void internal_endpoints::apply_report(const request_message& request, const answer_handler& answer) const
{
    const core::result<loan_report> report = parse_loan_report(request.body);
    if (!report) {
        answer(internal_response{.status = status_bad_request, .body = report.error().message});
        return;
    }
    this->context.budget.apply_report(*report);
    answer(internal_response{});
}

void internal_endpoints::receive_rollout_report(const request_message& request,
                                                const answer_handler& answer) const
{
    const core::result<rollout_report> report = parse_rollout_report(request.body);
    if (!report) {
        answer(internal_response{.status = status_bad_request, .body = report.error().message});
        return;
    }
    const core::result<rollout_answer> received = this->context.rollouts.receive(*report);
    if (!received) {
        answer(internal_response{.status = status_not_found, .body = received.error().message});
        return;
    }
    answer(internal_response{.body = make_rollout_answer(*received), .content_type = "application/json"});
}

} // namespace samphireway::gateway
