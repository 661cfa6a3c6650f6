#include "gateway/gateway_messages.h"
#include "gateway/loopback_gateway.h"

#include <criterion/criterion.h>

namespace {

using namespace samphireway;
using namespace testing;
using namespace std::chrono_literals;
using gateway::route_kind;

gateway::route stream_route(int attempts)
{
    gateway::route route = plain_route(route_kind::stream, attempts);
    route.timeout = 10s;
    route.target_latency = 100ms;
    route.longest_gap = 100ms;
    return route;
}

std::string patient_request()
{
    std::string bytes = request("a1", tokens);
    const std::string deadline = "Deadline-Ms: 4000";
    return bytes.replace(bytes.find(deadline), deadline.size(), "Deadline-Ms: 10000");
}

/** Returns how long a stream lasts that goes on with a part, again and again, after its first event. */
std::chrono::steady_clock::duration time_of_drip(const std::string& drip, std::string& response)
{
    loopback_gateway fixture;
    fixture.configure(stream_route(1));
    fixture.add_upstream([&drip](const received_request&) {
        return upstream_reply{
            .parts = {chunked_head + chunk(event(1)), drip}, .is_endless = true, .pause = 150ms};
    });
    const auto started = std::chrono::steady_clock::now();
    response = fixture.send(patient_request());
    return std::chrono::steady_clock::now() - started;
}

} // namespace

// Guards against stalled streams that never end because their upstream sends a byte, a comment or a part of
// an event now and then. Callers leave after two seconds without an event; the requests' deadline is ten.
Test(stalled_streams, bytes_without_an_event_do_not_prolong_a_stream, .timeout = 60)
{
    for (const std::string& drip : {chunk("x"), chunk(": still here\n\n"), chunk("data: more\n")}) {
        std::string response;
        const auto lasted = time_of_drip(drip, response);
        cr_assert_geq(lasted, 1900ms, "%s", drip.c_str());
        cr_assert_lt(lasted, 5s, "%s", drip.c_str());
        cr_assert(has(response, chunk(event(1))));
        cr_assert_not(response.ends_with("0\r\n\r\n"), "the caller can tell that it is not complete");
    }
}

// Guards against slow but sound streams that are cut: pauses just under the time after which callers leave.
Test(stalled_streams, slow_stream_is_kept, .timeout = 60)
{
    loopback_gateway fixture;
    fixture.configure(stream_route(1));
    fixture.add_upstream([](const received_request&) {
        return upstream_reply{
            .parts = {chunked_head + chunk(event(1)), chunk(event(2)), chunk(event(3)), "0\r\n\r\n"},
            .pause = 1700ms};
    });
    const std::string response = fixture.send(patient_request());
    cr_assert(response.ends_with(chunk(event(3)) + "0\r\n\r\n"), "%s", response.c_str());
}

// Guards against a resumable stream that is not continued elsewhere when its upstream only sends comments.
Test(stalled_streams, stalled_stream_is_resumed_at_another_upstream)
{
    loopback_gateway fixture;
    fixture.configure(stream_route(2));
    const auto reply = [](const received_request& received) {
        if (received.header("Last-Event-Id").empty()) {
            return upstream_reply{.parts = {chunked_head + chunk(event(1)), chunk(": wait\n\n")},
                                  .is_endless = true};
        }
        return upstream_reply{{chunked_head + chunk(event(2)) + "0\r\n\r\n"}};
    };
    fixture.add_upstream(reply);
    fixture.add_upstream(reply);
    const std::string response = fixture.send(request("a1", tokens));
    cr_assert(has(response, chunk(event(1))) && response.ends_with(chunk(event(2)) + "0\r\n\r\n"), "%s",
              response.c_str());
    cr_assert_eq(fixture.billed_tokens(), 100 + 2 * 5, "comments are not billed");
}
