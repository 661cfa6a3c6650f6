#include "gateway/gateway_messages.h"
#include "gateway/loopback_gateway.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <vector>

namespace {

using namespace samphireway;
using namespace testing;
using gateway::route_kind;

/** Heads that end in the status line, inside a header, after a header and before the empty line. */
const std::vector<std::string> cut_heads{
    "HTTP/1.1 2",
    "HTTP/1.1 200 OK",
    "HTTP/1.1 200 OK\r\n",
    "HTTP/1.1 200 OK\r\nX-Samphireway-Sw-Attempt-Id: {id}\r\nX-Samphireway-Sw-Sig",
    signed_head + "Content-Length: 4",
    signed_head + "Content-Length: 0\r\n",
    signed_head + "Connection: close\r\n",
    signed_head + "Transfer-Encoding: chunked\r\n\r",
};

std::string ask(const std::vector<upstream_reply>& replies, route_kind kind)
{
    loopback_gateway fixture;
    fixture.configure(plain_route(kind, 1));
    fixture.add_upstream([replies, count = std::size_t{0}](const received_request&) mutable {
        return replies[std::min(count++, replies.size() - 1)];
    });
    std::string last;
    for (std::size_t index = 0; index < replies.size(); ++index) {
        last = fixture.send(request("a" + std::to_string(index)));
    }
    return last;
}

} // namespace

// Guards against a head that ends early and reaches the requester as a success.
Test(cut_heads, response_with_a_cut_head_is_a_failure)
{
    for (const std::string& head : cut_heads) {
        for (const route_kind kind : {route_kind::safe, route_kind::unsafe, route_kind::stream}) {
            for (const bool is_reset : {false, true}) {
                const upstream_reply cut{.parts = {head}, .is_closed = !is_reset, .is_reset = is_reset};
                const std::string response = ask({cut}, kind);
                cr_expect(has(response, "HTTP/1.1 502"), "%s\n%s", head.c_str(), response.c_str());
            }
        }
    }
}

// Guards against a cut head that is completed by bytes which an earlier response left.
Test(cut_heads, cut_head_on_a_reused_connection_is_a_failure)
{
    for (const std::string& head : cut_heads) {
        for (const route_kind kind : {route_kind::safe, route_kind::stream}) {
            const upstream_reply cut{.parts = {head}, .is_closed = true};
            const upstream_reply in_two_parts{
                .parts = {head.substr(0, head.size() / 2), head.substr(head.size() / 2)}, .is_closed = true};
            for (const upstream_reply& reply : {cut, in_two_parts}) {
                const std::string response = ask({{.parts = {whole("first")}}, reply}, kind);
                cr_expect(has(response, "HTTP/1.1 502"), "%s\n%s", head.c_str(), response.c_str());
            }
            const std::string response =
                ask({{.parts = {whole("first")}},
                     {.parts = {"HTTP/1.1 200 OK\r\nX-Samphireway-Sw-Attempt-Id: a0\r\n"
                                "X-Samphireway-Sw-Signature: 1\r\n"
                                "Content-Length: 2\r\n\r\nok" +
                                head},
                      .is_closed = true}},
                    kind);
            cr_expect(has(response, "HTTP/1.1 502"), "%s\n%s", head.c_str(), response.c_str());
        }
    }
}
