#include "gateway/gateway_messages.h"
#include "gateway/loopback_gateway.h"

#include <criterion/criterion.h>

namespace {

using namespace samphireway;
using namespace std::chrono_literals;
using namespace testing;
using gateway::route_kind;

std::string limited(const std::string& value, const std::string& body)
{
    return signed_head + "Server-Limit: " + value + "\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

} // namespace

// Guards against requests above a limit that take the way of first attempts, repeats or a preferred upstream.
Test(upstream_limits, further_requests_go_to_upstreams_without_a_limit)
{
    loopback_gateway fixture;
    fixture.configure(plain_route(route_kind::safe, 2));
    auto& first = fixture.add_upstream(
        [](const received_request&) { return upstream_reply{{limited("0.5", "slow")}}; });
    auto& second =
        fixture.add_upstream([](const received_request&) { return upstream_reply{{whole("free")}}; });
    const auto began = std::chrono::steady_clock::now();
    for (int index = 0; index < 30; ++index) {
        cr_assert(has(fixture.send(request("a" + std::to_string(index))), "HTTP/1.1 200"));
    }
    const auto seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
    cr_assert_leq(static_cast<double>(first.requests().size()), 2 + seconds * 0.5);
    cr_assert_geq(second.requests().size(), 25U);
}

// Guards against requests that wait for an upstream's limit, or are refused without a time to come back.
Test(upstream_limits, request_that_no_upstream_may_take_is_refused_at_once)
{
    loopback_gateway fixture;
    fixture.configure(plain_route(route_kind::unsafe, 1));
    auto& only = fixture.add_upstream(
        [](const received_request&) { return upstream_reply{{limited("0.2", "done")}}; });
    cr_assert(has(fixture.send(request("a0")), "HTTP/1.1 200"));
    const auto began = std::chrono::steady_clock::now();
    const std::string refused = fixture.send(request("a1"));
    cr_assert(has(refused, "HTTP/1.1 503"), "%s", refused.c_str());
    cr_assert(has(refused, "Samphireway-Verdict: not_run"));
    cr_assert(has(refused, "Retry-After: "));
    cr_assert(std::chrono::steady_clock::now() < began + 1s);
    cr_assert_eq(only.requests().size(), 1U);
}
