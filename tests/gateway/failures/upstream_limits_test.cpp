#include "gateway/gateway_messages.h"
#include "gateway/loopback_gateway.h"
#include "gateway/placement/upstream_limits.h"
#include "platform/wire/request_headers.h"

#include <algorithm>
#include <cmath>
#include <criterion/criterion.h>
#include <deque>
#include <memory>
#include <vector>

namespace {

using namespace samphireway;
using namespace std::chrono_literals;
using namespace testing;
using gateway::route_kind;
using gateway::upstream_limits;

constexpr core::steady_time start{1h};
constexpr auto window = 4s;
constexpr auto step = 10ms;

const gateway::upstream capped{.id = "u", .service = "s", .started_at_ms = 1};

/** Number of requests that an upstream may get in the window, as its owners state it. */
double allowed(double rate)
{
    return 1.5 * rate * std::chrono::duration<double>(window).count() + 5;
}

std::shared_ptr<gateway::member_list> make_members(std::size_t size)
{
    auto result = std::make_shared<gateway::member_list>();
    for (std::size_t index = 0; index < size; ++index) {
        result->members.push_back({.id = "node-" + std::to_string(index)});
    }
    return result;
}

/** Nodes that each send to one upstream whenever their part of its limit permits. */
class capped_fleet {
public:
    capped_fleet(std::size_t size, double rate) : clock_offsets(size)
    {
        for (std::size_t index = 0; index < size; ++index) {
            this->members.push_back(make_members(size));
        }
        for (std::size_t index = 0; index < size; ++index) {
            this->nodes.push_back(std::make_unique<upstream_limits>(gateway::upstream_limit_options{
                .node = "node-" + std::to_string(index),
                .members = [this, index] { return this->members[index]; },
                .time = {.now =
                             [this, index] {
                                 return core::wall_time(this->now.time_since_epoch() +
                                                        this->clock_offsets[index]);
                             },
                         .steady =
                             [this] {
                                 return this->now;
                             }}}));
            this->nodes.back()->record(capped, rate);
        }
    }

    /** Lets all nodes send for a time. */
    void run(std::chrono::milliseconds time)
    {
        for (const core::steady_time end = this->now + time; this->now < end; this->now += step) {
            for (const auto& node : this->nodes) {
                if (node->allows(capped)) {
                    node->count(capped);
                    this->sent.push_back(this->now);
                    ++this->total;
                }
            }
            while (!this->sent.empty() && this->sent.front() <= this->now - window) {
                this->sent.pop_front();
            }
            this->most = std::max(this->most, this->sent.size());
        }
    }

    core::steady_time now = start;
    std::vector<std::chrono::milliseconds> clock_offsets; ///< Errors of the nodes' clocks.
    std::vector<std::shared_ptr<gateway::member_list>> members;
    std::vector<std::unique_ptr<upstream_limits>> nodes;
    std::deque<core::steady_time> sent;
    std::size_t most = 0; ///< Most requests in any window.
    std::size_t total = 0;
};

/** Options of the only node, whose clock a test sets. */
gateway::upstream_limit_options one_node(const core::steady_time& now)
{
    return {.node = "n",
            .members = [] { return nullptr; },
            .time = {.now = [&now] { return core::wall_time(now.time_since_epoch()); },
                     .steady =
                         [&now] {
                             return now;
                         }}};
}

std::string limited(const std::string& value, const std::string& body)
{
    return signed_head + "Server-Limit: " + value + "\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

} // namespace

// Guards against nodes that together send more than an upstream's limit, all the time or after a rest.
Test(upstream_limits, fleet_keeps_the_limit_of_an_upstream)
{
    for (const std::size_t nodes : {1, 3, 8, 80, 300}) {
        for (const double rate : {0.3, 4.2, 50.0, 400.0}) {
            capped_fleet fleet(nodes, rate);
            fleet.run(20s);
            fleet.now += 20s;
            fleet.run(20s);
            cr_expect_leq(static_cast<double>(fleet.most), allowed(rate), "%zu nodes, %.1f/s: %zu", nodes,
                          rate, fleet.most);
            // A node sends at most one request at each step of the clock.
            const double expected = std::min(rate, 100.0 * static_cast<double>(nodes)) * 40;
            cr_expect_geq(static_cast<double>(fleet.total), 0.8 * expected - 4, "%zu nodes, %.1f/s: %zu used",
                          nodes, rate, fleet.total);
        }
    }
}

// Guards against nodes that exceed a limit together because they disagree on the nodes or on the time.
Test(upstream_limits, nodes_that_disagree_keep_the_limit)
{
    for (const double rate : {4.2, 50.0}) {
        capped_fleet fleet(8, rate);
        for (std::size_t index = 0; index < 8; index += 2) {
            fleet.members[index]->members.erase(fleet.members[index]->members.begin() +
                                                static_cast<std::ptrdiff_t>(index + 1) % 8);
        }
        fleet.run(10s);
        for (const auto jump : {2400ms, -2400ms, 0ms, 3600000ms}) {
            fleet.clock_offsets[1] = jump;
            fleet.clock_offsets[4] = jump;
            fleet.run(10s);
        }
        cr_expect_leq(static_cast<double>(fleet.most), allowed(rate), "%.1f/s: %zu", rate, fleet.most);
        cr_expect_geq(static_cast<double>(fleet.total), 0.8 * rate * 50, "%.1f/s: %zu used", rate,
                      fleet.total);
    }
}

// Guards against limits that are kept after a change, after their end or for another incarnation.
Test(upstream_limits, limit_changes_and_ends_with_its_incarnation)
{
    core::steady_time now = start;
    upstream_limits limits(one_node(now));
    const gateway::upstream reborn{.id = "u", .service = "s", .started_at_ms = 2};
    limits.record(capped, 0.5);
    cr_assert_not(limits.allows(capped), "the response's request counts");
    cr_assert(limits.allows(reborn));
    const auto next = limits.next_slot(capped);
    cr_assert(next > start && next <= start + 2s);
    now = next;
    cr_assert(limits.allows(capped));
    limits.record(capped, 100);
    cr_assert(limits.next_slot(capped) <= now + 500ms);
    limits.record_none(capped);
    cr_assert(limits.allows(capped));
    limits.record(capped, 0.5);
    limits.sweep({});
    cr_assert_eq(limits.size(), 0U);
}

// Guards against limits that block an upstream for good, or end the process, because their value is odd.
Test(upstream_limits, odd_limits_are_bounded_or_ignored)
{
    const gateway::header_dialect dialect = adapter::make_header_dialect();
    const auto read = [&dialect](const std::string& value) {
        return dialect.read_response({.status = 200, .headers = {{"Server-Limit", value}}}).limit;
    };
    cr_assert_float_eq(*read("4.2"), 4.2, 1e-9);
    cr_assert_float_eq(*read("0.3"), 0.3, 1e-9);
    cr_assert_float_eq(*read("0"), 0, 1e-9);
    cr_assert_float_eq(*read("10000000000000000000000000000"), 1e28, 1e20);
    for (const std::string value :
         {"", "-1", "nan", "inf", "-0.5", "soon", "4.2 per second", "1e308", "1e999"}) {
        cr_assert_not(read(value).has_value(), "%s", value.c_str());
    }
    cr_assert(dialect.read_response({.status = 200, .headers = {{"Server-Limit", "soon"}}}).names_limit);
    core::steady_time now = start;
    upstream_limits limits(one_node(now));
    for (const double rate : {-1.0, std::nan(""), HUGE_VAL}) {
        limits.record(capped, rate);
        cr_assert_eq(limits.size(), 0U);
    }
    limits.record(capped, 1e308);
    now += 500ms;
    cr_assert(limits.allows(capped));
    for (const double rate : {1e-300, 0.0}) {
        limits.record(capped, rate);
        cr_assert_not(limits.allows(capped));
        cr_assert(limits.next_slot(capped) <= now + 10s, "it is asked now and then");
    }
}

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
