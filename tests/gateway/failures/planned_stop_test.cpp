#include "gateway/gateway_messages.h"
#include "gateway/loopback_gateway.h"
#include "settings/settings.h"

#include <criterion/criterion.h>

namespace {

using namespace samphireway;
using namespace std::chrono_literals;
using namespace testing;
using gateway::route_kind;

core::steady_time now()
{
    return std::chrono::steady_clock::now();
}

/** An upstream that answers a request only after a time. */
scripted_upstream::script slow(std::chrono::milliseconds time)
{
    return [time](const received_request&) {
        return upstream_reply{.parts = {signed_head, "Content-Length: 4\r\n\r\ndone"}, .pause = time};
    };
}

} // namespace

// Guards against a request that may not be repeated, is taken late in the grace and cut off at its end.
Test(planned_stop, request_that_may_not_be_repeated_is_refused_if_it_could_be_cut)
{
    for (const route_kind kind : {route_kind::unsafe, route_kind::stream}) {
        loopback_gateway fixture;
        fixture.configure(plain_route(kind, 1));
        auto& upstream =
            fixture.add_upstream([](const received_request&) { return upstream_reply{{whole(event(1))}}; });
        fixture.drain().refuse_from = now() + 1h;
        fixture.drain().answer_by = now() + 2s; // The route's timeout is 3 s.
        const std::string refused = fixture.send(request("a1"));
        cr_assert(has(refused, "HTTP/1.1 503"), "%s", refused.c_str());
        cr_assert(has(refused, "Samphireway-Verdict: not_run") && has(refused, "Retry-After: "));
        cr_assert_eq(upstream.requests().size(), 0U);
        fixture.drain().answer_by = now() + 10s;
        cr_assert(has(fixture.send(request("a2")), "HTTP/1.1 200"));
    }
}

// Guards against a request that may be repeated and is cut off without an answer, or whose upstream works on
// after the end of the process.
Test(planned_stop, repeatable_request_is_answered_before_the_process_ends)
{
    loopback_gateway fixture;
    fixture.configure(plain_route(route_kind::safe, 1));
    auto& upstream = fixture.add_upstream(slow(2500ms));
    const auto began = now();
    fixture.drain().refuse_from = now() + 1h;
    fixture.drain().answer_by = began + 600ms;
    const std::string answer = fixture.send(request("a1"));
    cr_assert(has(answer, "HTTP/1.1 504"), "%s", answer.c_str());
    cr_assert(has(answer, "Samphireway-Verdict: may_have_run"));
    cr_assert(now() < began + 1s);
    cr_assert_leq(std::stoi(upstream.requests().front().header("X-Samphireway-Sw-Deadline-Ms")), 600);
}

// Guards against requests that were accepted before the stop signal and get no answer at the end of the
// grace.
Test(planned_stop, request_in_progress_at_the_signal_is_answered)
{
    loopback_gateway fixture;
    fixture.configure(plain_route(route_kind::unsafe, 1));
    const auto began = now();
    fixture.add_upstream([&fixture](const received_request& received) {
        fixture.answer_by(now() + 600ms);
        return slow(2500ms)(received);
    });
    const std::string answer = fixture.send(request("a1"));
    cr_assert(has(answer, "HTTP/1.1 504"), "%s", answer.c_str());
    cr_assert(now() < began + 1500ms);
}

// Guards against a process that ends while requesters that read slowly still receive complete responses.
Test(planned_stop, response_in_delivery_keeps_the_process, .timeout = 60)
{
    const std::string body(8U << 20U, 'b');
    loopback_gateway fixture;
    fixture.configure(plain_route(route_kind::unsafe, 1));
    fixture.add_upstream([&body](const received_request&) { return upstream_reply{.parts = {whole(body)}}; });
    fixture.send_without_reading(request("a1", "Connection: close\r\n"));
    cr_assert(fixture.run_until([&fixture] { return fixture.counts().outcomes["served"] == 1; }));
    cr_assert_eq(fixture.counts().requests_in_flight, 0);
    cr_assert(fixture.counts().has_open_responses());
    fixture.close_all_but_deliveries();
    cr_assert(fixture.read_rest().ends_with(body));
    cr_assert_not(fixture.counts().has_open_responses());
}

// Guards against a process that waits for a requester that has left before it received its whole response.
Test(planned_stop, requester_that_left_keeps_no_process, .timeout = 60)
{
    loopback_gateway fixture;
    fixture.configure(plain_route(route_kind::unsafe, 1));
    fixture.add_upstream([](const received_request&) {
        return upstream_reply{.parts = {whole(std::string(8U << 20U, 'b'))}};
    });
    fixture.send_without_reading(request("a1"));
    cr_assert(fixture.run_until([&fixture] {
        return fixture.counts().has_open_responses() && fixture.counts().requests_in_flight == 0;
    }));
    fixture.leave();
    cr_assert(fixture.run_until([&fixture] { return !fixture.counts().has_open_responses(); }));
}

// Guards against a node that does not start where the grace is shorter than the usual notice.
Test(planned_stop, notice_follows_from_a_short_grace)
{
    for (const int grace_ms : {1000, 2500, 8000}) {
        const std::string text =
            R"({"node":{"id":"n","availability_zone":"z"},"listen":{"requesters":"127.0.0.1:1",
"probes":"127.0.0.1:2","internal":"127.0.0.1:3"},"object_api":{"address":"127.0.0.1:4"},"stop":{"grace_ms":)" +
            std::to_string(grace_ms) + "}}";
        const settings::gateway_settings_result read =
            settings::read_gateway_settings(*core::parse_json(text));
        cr_assert(read.faults.empty(), "%d ms", grace_ms);
        cr_assert(read.settings.stop.notice <= read.settings.stop.grace / 2);
    }
}
