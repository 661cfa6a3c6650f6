#include "gateway/gateway_messages.h"
#include "gateway/loopback_gateway.h"

#include <criterion/criterion.h>
#include <utility>

namespace {

using namespace samphireway;
using namespace std::chrono_literals;
using gateway::route;
using gateway::route_kind;
using testing::loopback_gateway;
using testing::received_request;
using testing::upstream_reply;
using namespace testing;

} // namespace

// Guards against a method, path, body, id or signature that is changed on the way, and against keys, forged
// headers and hop-by-hop headers that reach an upstream.
Test(exchange, request_and_response_pass_unchanged)
{
    loopback_gateway fixture;
    fixture.configure(plain_route(route_kind::unsafe, 1));
    auto& upstream =
        fixture.add_upstream([](const received_request&) { return upstream_reply{{whole("answer")}}; });
    const std::string response = fixture.send(request(
        "a1",
        "X-Samphireway-Sw-Tenant: forged\r\nX-Samphireway-Sw-Hold: 1\r\nConnection: X-Hop\r\nX-Hop: 1\r\n",
        "order"));
    cr_assert(has(response, "200 OK"), "%s", response.c_str());
    cr_assert(has(response, "X-Samphireway-Sw-Signature: 3e1b.07"));
    cr_assert(response.ends_with("\r\n\r\nanswer"));
    cr_assert_eq(upstream.requests().size(), 1U);
    const received_request& received = upstream.requests().front();
    cr_assert(received.head.starts_with("POST /r/2f HTTP/1.1"));
    cr_assert_eq(received.body, "order");
    cr_assert_eq(received.header("X-Samphireway-Sw-Attempt-Id"), "a1");
    cr_assert_eq(received.header("X-Samphireway-Sw-Tenant"), "rim");
    cr_assert_eq(received.header("X-Samphireway-Sw-Expect-Instance"), "upstream-0");
    cr_assert_leq(std::stol(received.header("X-Samphireway-Sw-Deadline-Ms")), 3000);
    cr_assert_not(has(received.head, "k1"));
    cr_assert_not(has(received.head, "X-Samphireway-Sw-Hold"));
    cr_assert_not(has(received.head, "X-Hop"));
}

// Guards against a refusal that promises "not run" although the upstream may have run the request.
Test(exchange, lost_response_of_unsafe_request_is_not_reported_as_not_run)
{
    loopback_gateway fixture;
    fixture.configure(plain_route(route_kind::unsafe, 3));
    auto& upstream =
        fixture.add_upstream([](const received_request&) { return upstream_reply{.is_reset = true}; });
    fixture.add_upstream([](const received_request&) { return upstream_reply{{whole("twice")}}; });
    const std::string response = fixture.send(request("a1"));
    const std::size_t sent = upstream.requests().size();
    cr_assert(sent == 0 || has(response, "HTTP/1.1 502"), "%s", response.c_str());
    cr_assert_not(has(response, "HTTP/1.1 503"));
}

// Guards against a refusal without a verdict or advice when the upstream did not run the request.
Test(exchange, upstream_refusal_is_forwarded_as_not_run)
{
    loopback_gateway fixture;
    fixture.configure(plain_route(route_kind::unsafe, 1));
    fixture.add_upstream([](const received_request&) { return upstream_reply{{not_run_refusal}}; });
    const std::string response = fixture.send(request("a1", tokens));
    cr_assert(has(response, "HTTP/1.1 503"), "%s", response.c_str());
    cr_assert(has(response, "Samphireway-Verdict: not_run"));
    cr_assert(has(response, "Retry-After: 0."));
    cr_assert_eq(fixture.billed_tokens(), 0);
}

// Guards against a 503 of an upstream that does not promise "not run" but reaches the requester, to whom a
// 503 promises it.
Test(exchange, unmarked_503_becomes_bad_gateway)
{
    loopback_gateway fixture;
    fixture.configure(plain_route(route_kind::unsafe, 1));
    fixture.add_upstream([](const received_request&) {
        return upstream_reply{
            {"HTTP/1.1 503 Busy\r\nX-Samphireway-Sw-Attempt-Id: {id}\r\nContent-Length: 0\r\n\r\n"}};
    });
    cr_assert(has(fixture.send(request("a1")), "HTTP/1.1 502"));
}

// Guards against a forwarded success without a signature, which no upstream's application has sent.
Test(exchange, success_without_signature_is_not_forwarded)
{
    loopback_gateway fixture;
    fixture.configure(plain_route(route_kind::unsafe, 1));
    fixture.add_upstream([](const received_request&) {
        return upstream_reply{
            {"HTTP/1.1 200 OK\r\nX-Samphireway-Sw-Attempt-Id: {id}\r\nContent-Length: 2\r\n\r\nno"}};
    });
    const std::string response = fixture.send(request("a1"));
    cr_assert(has(response, "HTTP/1.1 502"), "%s", response.c_str());
}

// Guards against a late response to an earlier request that is taken for the response to the current one.
Test(exchange, response_to_another_request_is_discarded)
{
    loopback_gateway fixture;
    fixture.configure(plain_route(route_kind::unsafe, 1));
    fixture.add_upstream([](const received_request&) {
        const std::string late = "HTTP/1.1 200 OK\r\nX-Samphireway-Sw-Attempt-Id: other\r\n"
                                 "X-Samphireway-Sw-Signature: 1\r\nContent-Length: 4\r\n\r\nlate";
        return upstream_reply{{late, whole("mine")}};
    });
    const std::string response = fixture.send(request("a1"));
    cr_assert(response.ends_with("mine"), "%s", response.c_str());
    cr_assert_not(has(response, "late"));
}

// Guards against bytes after a complete response that are taken for the response to the next request.
Test(exchange, connection_with_extra_bytes_is_not_reused)
{
    loopback_gateway fixture;
    fixture.configure(plain_route(route_kind::unsafe, 1));
    auto& upstream = fixture.add_upstream(
        [](const received_request&) { return upstream_reply{{whole("one") + "HTTP/1.1 200 OK\r\n"}}; });
    cr_assert(fixture.send(request("a1")).ends_with("one"));
    cr_assert(fixture.send(request("a2")).ends_with("one"));
    cr_assert_eq(upstream.requests().size(), 2U);
    cr_assert(fixture.run_until([&] { return upstream.closed_connections() == 2; }));
}

// Guards against a truncated response that reaches the requester as complete.
Test(exchange, truncated_response_is_not_forwarded)
{
    loopback_gateway fixture;
    fixture.configure(plain_route(route_kind::unsafe, 1));
    fixture.add_upstream([](const received_request&) {
        return upstream_reply{.parts = {signed_head + "Content-Length: 10\r\n\r\nhalf"}, .is_closed = true};
    });
    const std::string response = fixture.send(request("a1"));
    cr_assert(has(response, "HTTP/1.1 502"), "%s", response.c_str());
    cr_assert_not(has(response, "half"));
}

// Guards against a safe request that fails although another upstream could serve it.
Test(exchange, safe_request_is_retried_at_another_upstream)
{
    loopback_gateway fixture;
    fixture.configure(plain_route(route_kind::safe, 2));
    bool is_first = true;
    const auto reply = [&is_first](const received_request&) {
        const bool fails = std::exchange(is_first, false);
        return fails ? upstream_reply{.is_reset = true} : upstream_reply{{whole("second")}};
    };
    fixture.add_upstream(reply);
    fixture.add_upstream(reply);
    cr_assert(fixture.send(request("a1")).ends_with("second"));
}

// Guards against events that are lost, duplicated or joined wrongly when another upstream continues a stream,
// and against a prompt that is charged twice.
Test(exchange, stream_is_resumed_after_last_complete_event)
{
    loopback_gateway fixture;
    fixture.configure(plain_route(route_kind::stream, 2));
    std::string resumed_after = "none";
    const auto reply = [&resumed_after](const received_request& received) {
        const std::string last = received.header("Last-Event-Id");
        if (last.empty()) {
            const std::string first = signed_head + "Transfer-Encoding: chunked\r\n\r\n" + chunk(event(1));
            return upstream_reply{.parts = {first, chunk(event(2) + "id: 3\nda")}, .is_reset = true};
        }
        resumed_after = last;
        return upstream_reply{{signed_head + "Transfer-Encoding: chunked\r\n\r\n" + chunk(event(3)),
                               chunk(event(4)) + "0\r\n\r\n"}};
    };
    fixture.add_upstream(reply);
    fixture.add_upstream(reply);
    const std::string response = fixture.send(request("a1", tokens));
    cr_assert(
        has(response, chunk(event(1)) + chunk(event(2)) + chunk(event(3)) + chunk(event(4)) + "0\r\n\r\n"),
        "%s", response.c_str());
    cr_assert_eq(resumed_after, "2");
    cr_assert_eq(fixture.billed_tokens(), 100 + 4 * 5);
}

// Guards against an interrupted stream that reaches the requester as complete.
Test(exchange, stream_without_resume_is_aborted)
{
    loopback_gateway fixture;
    fixture.configure(plain_route(route_kind::stream, 1));
    auto& upstream = fixture.add_upstream([](const received_request&) {
        return upstream_reply{.parts = {signed_head + "Transfer-Encoding: chunked\r\n\r\n" + chunk(event(1))},
                              .is_reset = true};
    });
    const std::string response = fixture.send(request("a1"));
    cr_assert(has(response, chunk(event(1))) || upstream.requests().empty(), "%s", response.c_str());
    cr_assert_not(response.ends_with("0\r\n\r\n"));
}

// Guards against an upstream that keeps working on a request whose requester has disconnected.
Test(exchange, disconnect_of_requester_closes_upstream_connection)
{
    loopback_gateway fixture;
    fixture.configure(plain_route(route_kind::stream, 1));
    auto& upstream = fixture.add_upstream([](const received_request&) { return upstream_reply{}; });
    fixture.send_and_leave(request("a1", tokens));
    cr_assert(fixture.run_until([&] { return upstream.closed_connections() == 1; }));
    cr_assert_eq(fixture.counts().outcomes["requester_left"], 1);
    cr_assert_eq(fixture.billed_tokens(), 0);
}

// Guards against a request that gets no final response at the timeout of its route.
Test(exchange, unresponsive_upstream_gives_504_at_timeout)
{
    loopback_gateway fixture;
    route silent = plain_route(route_kind::unsafe, 1);
    silent.timeout = 100ms;
    fixture.configure(silent);
    fixture.add_upstream([](const received_request&) { return upstream_reply{}; });
    const std::string response = fixture.send(request("a1"));
    cr_assert(has(response, "HTTP/1.1 504"), "%s", response.c_str());
    cr_assert(has(response, "may_have_run"));
}

// Guards against requests without a key, route or configuration that reach an upstream or get a wrong status.
Test(exchange, requests_without_route_or_key_are_refused)
{
    loopback_gateway fixture;
    auto& upstream =
        fixture.add_upstream([](const received_request&) { return upstream_reply{{whole("x")}}; });
    cr_assert(has(fixture.send(request("a1")), "HTTP/1.1 503"));
    fixture.configure(plain_route(route_kind::unsafe, 1));
    std::string foreign = request("a2");
    foreign.replace(foreign.find("k1"), 2, "zz");
    cr_assert(has(fixture.send(foreign), "HTTP/1.1 401"));
    std::string unknown = request("a3");
    unknown.replace(unknown.find("/r/"), 3, "/q/");
    cr_assert(has(fixture.send(unknown), "HTTP/1.1 404"));
    cr_assert_eq(upstream.requests().size(), 0U);
}

// Guards against a request that runs although it exceeds its workspace's budget.
Test(exchange, request_beyond_the_budget_is_refused)
{
    loopback_gateway fixture;
    fixture.configure(plain_route(route_kind::stream, 1));
    auto& upstream =
        fixture.add_upstream([](const received_request&) { return upstream_reply{{whole("x")}}; });
    const std::string response = fixture.send(request("a1", "X-Samphireway-Sw-Token-Usage: 999990,50\r\n"));
    cr_assert(has(response, "HTTP/1.1 402"), "%s", response.c_str());
    cr_assert_eq(upstream.requests().size(), 0U);
}

// Guards against a stopping node that accepts new requests or keeps connections open for them.
Test(exchange, stopping_node_refuses_requests_and_closes_connections)
{
    loopback_gateway fixture;
    fixture.configure(plain_route(route_kind::unsafe, 1));
    fixture.add_upstream([](const received_request&) { return upstream_reply{{whole("served")}}; });
    const auto now = std::chrono::steady_clock::now();
    fixture.drain().refuse_from = now + 1h;
    const std::string served = fixture.send(request("a1"));
    cr_assert(served.ends_with("served") && has(served, "Connection: close"), "%s", served.c_str());
    fixture.drain().refuse_from = now;
    const std::string refused = fixture.send(request("a2"));
    cr_assert(has(refused, "HTTP/1.1 503") && has(refused, "Connection: close"), "%s", refused.c_str());
}

// Guards against malformed and ambiguous requests that reach an upstream, in whole or in part.
Test(front_session, bad_requests_are_refused_and_connection_is_closed)
{
    loopback_gateway fixture;
    fixture.configure(plain_route(route_kind::unsafe, 1));
    auto& upstream =
        fixture.add_upstream([](const received_request&) { return upstream_reply{{whole("x")}}; });
    const std::string start =
        "POST /r/2f HTTP/1.1\r\nHost: shop.example\r\nX-Samphireway-Sw-Attempt-Id: a\r\n"
        "Authorization: Bearer k1\r\n";
    const std::string smuggled = "0\r\n\r\nGET /r/x HTTP/1.1\r\nHost: shop.example\r\n\r\n";
    cr_assert(has(fixture.send(start + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n" + smuggled),
                  "HTTP/1.1 400"));
    cr_assert(
        has(fixture.send(start + "Content-Length: 4\r\nContent-Length: 4\r\n\r\nbody"), "HTTP/1.1 400"));
    cr_assert(has(fixture.send(start + "Content-Length: 9000\r\n\r\n"), "HTTP/1.1 413"));
    cr_assert(has(fixture.send(start + "X-Long: " + std::string(5000, 'x') + "\r\n\r\n"), "HTTP/1.1 431"));
    cr_assert(has(fixture.send("nonsense\r\n\r\n"), "HTTP/1.1 400"));
    cr_assert(has(fixture.send("POST /r/2f HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 0\r\n\r\n"),
                  "HTTP/1.1 400"));
    cr_assert_eq(upstream.requests().size(), 0U);
}

// Guards against a keep-alive connection that loses its second request, and against changed chunked bodies.
Test(front_session, connection_serves_several_requests)
{
    loopback_gateway fixture;
    fixture.configure(plain_route(route_kind::unsafe, 1));
    auto& upstream =
        fixture.add_upstream([](const received_request&) { return upstream_reply{{whole("yes")}}; });
    std::string chunked = request("a2");
    const std::string length = "Content-Length: 0";
    chunked.replace(chunked.find(length), length.size(), "Transfer-Encoding: chunked");
    const std::string response =
        fixture.send(request("a1", {}, "one") + chunked + chunk("tw") + chunk("o") + "0\r\n\r\n");
    cr_assert_eq(upstream.requests().size(), 2U, "%s", response.c_str());
    cr_assert_eq(upstream.requests()[0].body, "one");
    cr_assert_eq(upstream.requests()[1].body, "two");
    cr_assert(response.ends_with("yes"));
}
