#include "gateway/gateway_messages.h"
#include "gateway/loopback_gateway.h"

#include <criterion/criterion.h>

namespace {

using namespace samphireway;
using namespace testing;
using namespace std::chrono_literals;
using gateway::route_kind;

} // namespace

// Guards against streams that are cut when an upstream answers before it has read a long request and reads on
// later: it acknowledges every probe and only keeps its window closed.
Test(late_bodies, stream_is_whole_whose_request_is_read_after_it, .timeout = 60)
{
    constexpr int events = 27;
    constexpr std::size_t body_bytes = 110000;
    loopback_gateway fixture;
    gateway::route route = plain_route(route_kind::stream, 1);
    route.timeout = 10s;
    fixture.configure(route, 2 * body_bytes);
    auto& upstream = fixture.add_upstream([](const received_request&) {
        upstream_reply reply{.parts = {chunked_head}, .pause = 100ms};
        for (int number = 1; number <= events; ++number) {
            reply.parts.push_back(chunk(event(number)));
        }
        reply.parts.emplace_back("0\r\n\r\n");
        return reply;
    });
    upstream.read_bodies_late();
    std::string bytes = request("a1", tokens, std::string(body_bytes, 'b'));
    const std::string deadline = "Deadline-Ms: 4000";
    bytes.replace(bytes.find(deadline), deadline.size(), "Deadline-Ms: 10000");
    const std::string response = fixture.send(bytes);
    cr_assert(has(response, event(events)), "%s", response.substr(0, 200).c_str());
    cr_assert(response.ends_with("0\r\n\r\n"));
}
