#include "processes/small_deployment.h"

#include <criterion/criterion.h>
#include <csignal>
#include <string>
#include <thread>

namespace {

using namespace samphireway::testing;
using namespace std::chrono_literals;

/** Answers after a time that is longer than the notice of a stop and shorter than its grace. */
bool serve_late(stage::channel& to, stage::request& received)
{
    std::this_thread::sleep_for(4s);
    return serve_text(to, received);
}

} // namespace

// Guards against responses of other nodes that break off since the node they go through is stopped: it has as
// much time for them as for its own.
Test(stopping_helper, response_through_a_tunnel_is_finished_before_the_node_ends, .timeout = 60)
{
    small_deployment deployment;
    stage::engine upstream(deployment.store, deployment.notes, {.id = "desk-1", .service = "desk"},
                           serve_late);
    {
        gateway_process node(deployment.node_options());
        cr_assert(node.wait_ready(15s), "%s", node.describe_end().c_str());
        std::string token;
        for (int count = 0; count < 100 && token.empty(); ++count) {
            std::this_thread::sleep_for(50ms);
            token = deployment.store.get("members", "node-1")["spec"]["token"].asString();
        }
        cr_assert_not(token.empty(), "the node did not register itself");
        const auto tunnel = stage::channel::connect(node.internal_port());
        const std::string target = "127.0.0.1:" + std::to_string(upstream.port());
        tunnel->write("CONNECT " + target + " HTTP/1.1\r\nHost: " + target + "\r\nAuthorization: Bearer " +
                      token + "\r\n\r\n");
        while (tunnel->buffer.find("\r\n\r\n") == std::string::npos && tunnel->fill()) {
        }
        cr_assert(tunnel->buffer.starts_with("HTTP/1.1 200"), "%s", tunnel->buffer.c_str());
        tunnel->buffer.clear();
        tunnel->write(stage::request_text(
            {.path = "/status/1", .method = "GET", .attempt_id = "a1", .deadline_ms = 6000}));
        std::this_thread::sleep_for(200ms);
        node.signal(SIGTERM);
        const stage::response received = stage::read_response(*tunnel);
        cr_expect_eq(received.status, 200, "the tunnel ended: %s", received.end_reason.c_str());
        cr_expect(node.wait_end(10s));
        cr_expect(node.has_succeeded(), "%s", node.describe_end().c_str());
    }
    upstream.stop();
}
