#include "gateway/gateway_messages.h"
#include "gateway/loopback_gateway.h"

#include <criterion/criterion.h>
#include <utility>

namespace {

using namespace samphireway;
using namespace testing;
using gateway::route_kind;

/** Replies to the first request and then with further bytes before the reply to the second one. */
scripted_upstream::script copy_before_second(const std::string& copy)
{
    return [copy, count = 0](const received_request&) mutable {
        return ++count == 1 ? upstream_reply{{whole("first")}} : upstream_reply{{copy, whole("second")}};
    };
}

std::string answer(const std::string& id_line, const std::string& body)
{
    return "HTTP/1.1 200 OK\r\n" + id_line +
           "X-Samphireway-Sw-Signature: 3e1b.07\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

} // namespace

// Guards against a late second copy of a response that the next requester gets, with and without the id of
// the request that it belongs to.
Test(late_copies, copy_is_never_given_to_the_next_requester)
{
    for (const std::string id_line : {"", "X-Samphireway-Sw-Attempt-Id: a1\r\n"}) {
        loopback_gateway fixture;
        fixture.configure(plain_route(route_kind::unsafe, 1));
        fixture.add_upstream(copy_before_second(answer(id_line, "first")));
        cr_assert(fixture.send(request("a1")).ends_with("first"));
        const std::string response = fixture.send(request("a2"));
        cr_assert(response.ends_with("second"), "%s", response.c_str());
        cr_assert_not(has(response, "first"));
    }
}

// Guards against a copy that is received while the connection is idle and read as the next response.
Test(late_copies, connection_is_closed_when_bytes_arrive_while_idle)
{
    loopback_gateway fixture;
    fixture.configure(plain_route(route_kind::unsafe, 1));
    auto& upstream = fixture.add_upstream([count = 0](const received_request&) mutable {
        return ++count == 1 ? upstream_reply{{whole("first"), whole("first")}}
                            : upstream_reply{{whole("next")}};
    });
    cr_assert(fixture.send(request("a1")).ends_with("first"));
    cr_assert(fixture.run_until([&] { return upstream.closed_connections() == 1; }));
    cr_assert(fixture.send(request("a2")).ends_with("next"));
}

// Guards against a late copy of a refusal, without an id, that is taken for the promise that the current
// request has not run: an unsafe request would then run twice.
Test(late_copies, copy_of_a_refusal_is_no_promise_for_the_next_request)
{
    const std::string refusal = "HTTP/1.1 503 Busy\r\nX-Samphireway-Sw-Not-Executed: 1\r\n"
                                "Content-Length: 0\r\n\r\n";
    loopback_gateway fixture;
    fixture.configure(plain_route(route_kind::unsafe, 2));
    auto& first = fixture.add_upstream(copy_before_second(refusal));
    cr_assert(fixture.send(request("a1")).ends_with("first"));
    auto& other =
        fixture.add_upstream([](const received_request&) { return upstream_reply{{whole("other")}}; });
    for (int count = 0; count < 4; ++count) {
        fixture.send(request("b" + std::to_string(count)));
    }
    const std::size_t all = first.requests().size() + other.requests().size();
    cr_assert_eq(all, 5U, "each request is sent once");
}

// Guards against a copy in the middle of a stream that is joined to it.
Test(late_copies, copy_within_a_stream_breaks_it_off)
{
    loopback_gateway fixture;
    fixture.configure(plain_route(route_kind::stream, 1));
    fixture.add_upstream([](const received_request&) {
        return upstream_reply{{chunked_head + chunk(event(1)), whole("copy"), chunk(event(2)) + "0\r\n\r\n"}};
    });
    const std::string response = fixture.send(request("a1"));
    cr_assert_not(has(response, "copy"), "%s", response.c_str());
    cr_assert_not(response.ends_with("0\r\n\r\n"));
}
