#include "gateway/gateway_messages.h"
#include "gateway/loopback_gateway.h"

#include <criterion/criterion.h>

namespace {

using namespace samphireway;
using namespace testing;
using gateway::route_kind;

std::string answer_with_status(const std::string& status)
{
    return "HTTP/1.1 " + status +
           " Odd\r\nX-Samphireway-Sw-Attempt-Id: {id}\r\nX-Samphireway-Sw-Signature: 3e1b.07\r\n"
           "Content-Length: 4\r\n\r\nwood";
}

} // namespace

// Guards against an answer of an upstream in trouble that is passed on although its status is none.
Test(odd_answers, status_that_is_no_status_is_not_passed_on, .timeout = 120)
{
    for (const char* status : {"000", "042", "099", "101", "600", "999"}) {
        for (const route_kind kind : {route_kind::safe, route_kind::unsafe, route_kind::stream}) {
            loopback_gateway fixture;
            fixture.configure(plain_route(kind, 1));
            fixture.add_upstream([status](const received_request&) {
                return upstream_reply{.parts = {answer_with_status(status)}, .is_closed = true};
            });
            const std::string response = fixture.send(request("a1", tokens));
            cr_expect(response.starts_with("HTTP/1.1 502"), "status %s: %s", status,
                      response.substr(0, 200).c_str());
        }
    }
}
