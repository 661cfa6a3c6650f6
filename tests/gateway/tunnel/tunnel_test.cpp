#include "gateway/http/internal_server.h"
#include "gateway/http/upstream_pool.h"
#include "gateway/loopback_gateway.h"
#include "gateway/tunnel/tunnel_client.h"
#include "gateway/tunnel/tunnel_server.h"

#include <boost/asio/write.hpp>
#include <criterion/criterion.h>
#include <memory>
#include <optional>
#include <string>

namespace {

using namespace samphireway;
using namespace samphireway::testing;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

const std::string whole = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nopen";

/** A node that is cut off from its upstreams, and one that helps it, on one thread. */
class two_nodes {
public:
    explicit two_nodes(scripted_upstream::script script)
        : upstream(this->io, "u", std::move(script)), helper_port(free_port(this->io)),
          server(this->io, {.is_authorized =
                                [](const gateway::request_message& request) {
                                    const std::string* shown =
                                        gateway::find_header(request.headers, "Authorization");
                                    return shown != nullptr && *shown == "Bearer secret";
                                },
                            .is_upstream =
                                [this](const tcp::endpoint& address) {
                                    return address.port() == this->upstream.entry().port ||
                                           address.port() == this->other_upstream;
                                },
                            .can_help = [this] { return this->can_help; },
                            .on_connect = [](const tcp::endpoint&, bool) {},
                            .maximum_tunnels = 3}),
          internal(
              this->io, {boost::asio::ip::address_v4::loopback(), this->helper_port},
              [](const gateway::request_message&, const auto& answer) { answer({}); },
              [this](const gateway::request_message& request, tcp::socket connection) {
                  this->server.open(request, std::move(connection));
              })
    {
        cr_assert(this->internal.start().has_value());
        auto table = std::make_shared<gateway::upstream_table>();
        table->by_service["s"].push_back(std::make_shared<gateway::upstream>(this->upstream.entry()));
        this->registered = std::move(table);
        this->add_member("helper", this->helper_port, "secret");
    }

    void add_member(const std::string& id, std::uint16_t port, const std::string& token,
                    const std::string& availability_zone = "here")
    {
        auto next = std::make_shared<gateway::member_list>(*this->members);
        next->members.push_back({.id = id,
                                 .address = "127.0.0.1",
                                 .port = port,
                                 .token = token,
                                 .process = id,
                                 .availability_zone = availability_zone});
        this->members = std::move(next);
    }

    /** Makes the node's own links to the upstreams fail, and waits until it has found out by its helper. */
    void cut_off()
    {
        for (int count = 0; count < 3; ++count) {
            this->client.record_own({boost::asio::ip::address_v4::loopback(), this->upstream.entry().port},
                                    false);
        }
        if (!this->members->members.empty()) {
            cr_assert(this->run_until([this] { return this->client.is_needed(); }));
        }
    }

    struct outcome {
        std::optional<gateway::upstream_result> result;
        std::string body;
        std::shared_ptr<gateway::upstream_connection> connection;
    };

    /** Sends a request from the node that is cut off. */
    outcome send()
    {
        return this->send_to(this->upstream.entry());
    }

    outcome send_to(const gateway::upstream& target, const std::string& body = "body")
    {
        outcome seen;
        seen.connection = this->pool.acquire(target, std::chrono::steady_clock::now());
        seen.connection->send(
            {.method = "POST", .target = "/r/", .headers = {{"Host", "u"}}, .body = body},
            {.on_head = [](const gateway::response_head&) { return gateway::response_owner::this_request; },
             .on_body = [&seen](std::string_view bytes) { seen.body += bytes; },
             .on_end =
                 [&seen](gateway::upstream_result result) {
                     seen.result = result;
                 }});
        this->run_until([&seen] { return seen.result.has_value(); });
        return seen;
    }

    bool run_until(const std::function<bool()>& condition)
    {
        const auto limit = std::chrono::steady_clock::now() + 10s;
        while (!condition() && std::chrono::steady_clock::now() < limit) {
            this->io.run_for(2ms);
            this->io.restart();
        }
        return condition();
    }

    static std::uint16_t free_port(boost::asio::io_context& context)
    {
        return tcp::acceptor(context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
            .local_endpoint()
            .port();
    }

    boost::asio::io_context io;
    const std::string node = "cut";
    const std::string zone = "here";
    scripted_upstream upstream;
    const std::uint16_t helper_port;
    bool can_help = true;
    std::uint16_t other_upstream = 0; ///< Port of a second registered upstream.
    std::shared_ptr<const gateway::upstream_table> registered;
    std::shared_ptr<const gateway::member_list> members = std::make_shared<gateway::member_list>();
    gateway::tunnel_server server;
    gateway::internal_server internal;
    gateway::tunnel_client client{this->io,
                                  {.node = this->node,
                                   .availability_zone = this->zone,
                                   .members = [this] { return this->members; },
                                   .upstreams =
                                       [this] {
                                           return this->registered;
                                       }}};
    gateway::upstream_pool pool{this->io, &this->client};
};

} // namespace

// Guards against a node that serves nobody while it alone cannot reach the upstreams.
Test(tunnel, cut_off_node_is_served_through_another_node)
{
    two_nodes nodes([](const received_request&) { return upstream_reply{.parts = {whole}}; });
    nodes.cut_off();
    const two_nodes::outcome seen = nodes.send();
    cr_expect(seen.result == gateway::upstream_result::complete);
    cr_expect_str_eq(seen.body.c_str(), "open");
    cr_expect(seen.connection->is_tunnelled());
    cr_expect_eq(nodes.upstream.requests().size(), 1U);
    cr_expect_str_eq(nodes.upstream.requests().front().body.c_str(), "body");
}

// Guards against tunnels in calm, and after the links are back.
Test(tunnel, node_goes_back_to_its_own_links_within_two_seconds)
{
    two_nodes nodes([](const received_request&) { return upstream_reply{.parts = {whole}}; });
    cr_expect_not(nodes.send().connection->is_tunnelled());
    nodes.cut_off();
    const auto begin = std::chrono::steady_clock::now();
    cr_expect(nodes.run_until([&nodes] { return !nodes.client.is_needed(); }));
    cr_expect_lt((std::chrono::steady_clock::now() - begin).count(), std::chrono::nanoseconds(2s).count());
    cr_expect_not(nodes.send().connection->is_tunnelled());
}

// Guards against a part of a response that looks complete since the upstream or the helper broke off.
Test(tunnel, response_that_ends_with_its_connection_is_not_complete)
{
    for (const bool is_reset : {false, true}) {
        two_nodes nodes([is_reset](const received_request&) {
            return upstream_reply{
                .parts = {"HTTP/1.1 200 OK\r\n\r\npart"}, .is_closed = !is_reset, .is_reset = is_reset};
        });
        nodes.cut_off();
        cr_expect(nodes.send().result == gateway::upstream_result::broken);
    }
}

// Guards against an upstream that works on for a requester who has left the node that is cut off.
Test(tunnel, closing_ends_the_connection_to_the_upstream)
{
    two_nodes nodes([](const received_request&) { return upstream_reply{}; });
    nodes.cut_off();
    const auto connection = nodes.pool.acquire(nodes.upstream.entry(), std::chrono::steady_clock::now());
    connection->send({.method = "GET", .target = "/r/", .headers = {{"Host", "u"}}}, {});
    cr_assert(nodes.run_until([&nodes] { return !nodes.upstream.requests().empty(); }));
    connection->close();
    cr_expect(nodes.run_until([&nodes] { return nodes.upstream.closed_connections() > 0; }));
    cr_expect(nodes.run_until([&nodes] { return nodes.server.count() == 0; }));
}

// Guards against tunnels for strangers, to other addresses, through nodes that are cut off, and without a
// bound.
Test(tunnel, calls_that_must_not_be_helped_are_refused)
{
    two_nodes nodes([](const received_request&) { return upstream_reply{}; });
    const gateway::upstream entry = nodes.upstream.entry();
    const tcp::endpoint target(boost::asio::ip::make_address(entry.address), entry.port);
    const gateway::member helper = nodes.members->members.front();
    std::vector<tcp::socket> open;
    const auto is_opened = [&](const gateway::member& asked, const tcp::endpoint& address) {
        std::optional<bool> opened;
        std::make_shared<gateway::tunnel_call>(nodes.io, asked, address)
            ->start(std::chrono::steady_clock::now() + 2s, [&](core::result<tcp::socket> connection) {
                opened = connection.has_value();
                if (connection) {
                    open.push_back(std::move(*connection));
                }
            });
        nodes.run_until([&opened] { return opened.has_value(); });
        return opened.value_or(false);
    };
    gateway::member stranger = helper;
    stranger.token = "another";
    cr_expect_not(is_opened(stranger, target));
    cr_expect_not(is_opened(helper, {target.address(), 9}));
    nodes.can_help = false;
    cr_expect_not(is_opened(helper, target));
    nodes.can_help = true;
    for (int count = 0; count < 3; ++count) {
        cr_expect(is_opened(helper, target));
    }
    cr_expect_not(is_opened(helper, target));
    open.clear();
    cr_expect(nodes.run_until([&nodes] { return nodes.server.count() == 0; }));
    cr_expect(is_opened(helper, target));
}

// Guards against requests that fail since one of several helpers is gone or cut off as well.
Test(tunnel, helpers_that_fail_are_not_chosen_again)
{
    two_nodes nodes([](const received_request&) { return upstream_reply{.parts = {whole}}; });
    for (int count = 0; count < 3; ++count) {
        nodes.add_member("gone-" + std::to_string(count), two_nodes::free_port(nodes.io), "secret");
    }
    nodes.cut_off();
    const auto is_only_the_helper_chosen = [&nodes] {
        for (int count = 0; count < 20; ++count) {
            const auto chosen = nodes.client.choose();
            if (!chosen || chosen->id != "helper") {
                return false;
            }
        }
        return true;
    };
    cr_assert(nodes.run_until(is_only_the_helper_chosen));
    cr_expect(nodes.client.is_needed());
}

// Guards against a cut of a whole large zone that is not noticed, since only its own nodes are asked, all of
// which are cut off and do not know it yet.
Test(tunnel, cut_of_a_large_zone_is_confirmed_by_another_zone)
{
    two_nodes nodes([](const received_request&) { return upstream_reply{.parts = {whole}}; });
    const std::uint16_t port = two_nodes::free_port(nodes.io);
    gateway::internal_server cut_nodes(
        nodes.io, {boost::asio::ip::address_v4::loopback(), port},
        [](const gateway::request_message&, const auto& answer) { answer({}); },
        [](const gateway::request_message&, tcp::socket connection) {
            boost::asio::write(
                connection, boost::asio::buffer(std::string("HTTP/1.1 502 X\r\nContent-Length: 0\r\n\r\n")));
        });
    cr_assert(cut_nodes.start().has_value());
    nodes.members = std::make_shared<gateway::member_list>();
    for (int count = 0; count < 40; ++count) {
        nodes.add_member("near-" + std::to_string(count), port, "secret");
    }
    nodes.add_member("helper", nodes.helper_port, "secret", "there");
    nodes.cut_off();
    const two_nodes::outcome seen = nodes.send();
    cr_expect(seen.result == gateway::upstream_result::complete);
    cr_expect(seen.connection->is_tunnelled());
}

// Guards against a stream that breaks off in a tunnel since its requester reads slowly.
Test(tunnel, slow_reader_gets_the_whole_response, .timeout = 60)
{
    constexpr std::size_t bytes = std::size_t{32} << 20U;
    for (const bool is_cut : {false, true}) {
        two_nodes nodes([](const received_request&) {
            return upstream_reply{.parts = {"HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(bytes) +
                                            "\r\n\r\n" + std::string(bytes, 'x')}};
        });
        if (is_cut) {
            nodes.cut_off();
        }
        const auto connection = nodes.pool.acquire(nodes.upstream.entry(), std::chrono::steady_clock::now());
        std::size_t received = 0;
        std::optional<gateway::upstream_result> result;
        connection->send(
            {.method = "POST", .target = "/r/", .headers = {{"Host", "u"}}, .body = "body"},
            {.on_head = [](const gateway::response_head&) { return gateway::response_owner::this_request; },
             .on_body =
                 [&](std::string_view part) {
                     if (received == 0) {
                         connection->pause_reading();
                     }
                     received += part.size();
                 },
             .on_end =
                 [&](gateway::upstream_result seen) {
                     result = seen;
                 }});
        const auto resume_at = std::chrono::steady_clock::now() + 5s;
        nodes.run_until([&] { return std::chrono::steady_clock::now() >= resume_at; });
        connection->resume_reading();
        nodes.run_until([&result] { return result.has_value(); });
        cr_expect(result == gateway::upstream_result::complete, "%s", is_cut ? "tunnel" : "direct");
        cr_expect_eq(received, bytes, "%s: %zu", is_cut ? "tunnel" : "direct", received);
    }
}

// Guards against a response that breaks off in a tunnel since the upstream reads the rest of the request
// after it.
Test(tunnel, request_may_be_read_after_its_response, .timeout = 60)
{
    const std::string large(110000, 'b');
    for (const bool is_cut : {false, true}) {
        two_nodes nodes([](const received_request&) {
            return upstream_reply{.parts = {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\no", "p", "e", "n"},
                                  .pause = 1s};
        });
        nodes.upstream.read_bodies_late();
        if (is_cut) {
            nodes.cut_off();
        }
        const two_nodes::outcome seen = nodes.send_to(nodes.upstream.entry(), large);
        cr_expect(seen.result == gateway::upstream_result::complete, "%s", is_cut ? "tunnel" : "direct");
        cr_expect_str_eq(seen.body.c_str(), "open", "%s", is_cut ? "tunnel" : "direct");
    }
}

// Guards against living connections that a node gives up while it is cut off and knows no other node.
Test(tunnel, node_without_helpers_keeps_its_connections)
{
    two_nodes nodes([](const received_request&) { return upstream_reply{.parts = {whole}}; });
    nodes.members = std::make_shared<gateway::member_list>();
    const two_nodes::outcome first = nodes.send();
    cr_assert(first.result == gateway::upstream_result::complete);
    nodes.pool.release(nodes.upstream.entry().id, first.connection, std::chrono::steady_clock::now());
    nodes.cut_off();
    const auto second = nodes.pool.acquire(nodes.upstream.entry(), std::chrono::steady_clock::now());
    cr_expect(second == first.connection, "the connection was given up");
}

// Guards against a sound helper that is given up since upstreams are down that no node reaches.
Test(tunnel, upstream_that_is_down_costs_no_helper)
{
    two_nodes nodes([](const received_request&) { return upstream_reply{.parts = {whole}}; });
    const std::uint16_t nobody = two_nodes::free_port(nodes.io);
    nodes.other_upstream = nobody;
    nodes.cut_off();
    cr_assert(nodes.send().connection->is_tunnelled());
    gateway::upstream down = nodes.upstream.entry();
    down.id = "down";
    down.port = nobody;
    for (int count = 0; count < 3; ++count) {
        nodes.cut_off(); // The node stays cut off, whatever its own attempts found meanwhile.
        nodes.send_to(down);
    }
    nodes.cut_off();
    cr_assert(nodes.client.is_needed());
    const auto chosen = nodes.client.choose();
    cr_expect(chosen.has_value(), "the helper was given up");
}

// Guards against an answer that is lost in a tunnel since the upstream gives it before it has read the
// request.
Test(tunnel, early_answer_arrives_as_without_a_tunnel)
{
    const std::string large(std::size_t{4} << 20U, 'b');
    for (const bool is_cut : {false, true}) {
        int complete = 0;
        for (int count = 0; count < 20; ++count) {
            two_nodes nodes([](const received_request&) {
                return upstream_reply{.parts = {whole}, .is_closed = true, .pause = 0ms};
            });
            nodes.upstream.read_bodies_late();
            if (is_cut) {
                nodes.cut_off();
            }
            complete += nodes.send_to(nodes.upstream.entry(), large).body == "open" ? 1 : 0;
        }
        cr_expect_eq(complete, 20, "%s: %d of 20", is_cut ? "tunnel" : "direct", complete);
    }
}
