#include "gateway/tunnel/upstream_reach.h"

#include <criterion/criterion.h>

namespace {

using namespace samphireway;
using namespace std::chrono_literals;

boost::asio::ip::tcp::endpoint upstream(std::uint16_t number)
{
    return {boost::asio::ip::address_v4::loopback(), number};
}

/** Reach on an injected clock. */
struct observed_reach {
    core::steady_time now{1h};
    std::size_t registered = 10;
    int doubts = 0;
    gateway::upstream_reach reach{{.upstreams = [this] { return this->registered; },
                                   .on_doubt = [this] { ++this->doubts; },
                                   .time = {.steady = [this] {
                                       return this->now;
                                   }}}};
};

/** Records failures of as many upstreams as it takes to doubt the links. */
void fail_three(gateway::upstream_reach& reach)
{
    for (std::uint16_t number = 1; number <= 3; ++number) {
        reach.record_failure(upstream(number));
    }
}

} // namespace

// Guards against a node that counts as cut off since one upstream has crashed.
Test(upstream_reach, one_failing_upstream_is_no_cut)
{
    observed_reach observed;
    for (int count = 0; count < 50; ++count) {
        observed.reach.record_failure(upstream(1));
    }
    cr_expect_eq(observed.doubts, 0);
}

// Guards against failures of a crowd of restarting upstreams that count though others were reached meanwhile.
Test(upstream_reach, failures_between_successes_are_no_cut)
{
    observed_reach observed;
    for (std::uint16_t number = 1; number <= 30; ++number) {
        observed.reach.record_failure(upstream(number));
        if (number % 2 == 0) {
            observed.reach.record_success();
        }
    }
    cr_expect_eq(observed.doubts, 0);
}

// Guards against failures from long ago that make a single one look like a cut.
Test(upstream_reach, old_failures_do_not_count)
{
    observed_reach observed;
    for (std::uint16_t number = 1; number <= 10; ++number) {
        observed.reach.record_failure(upstream(number));
        observed.now += 3s;
    }
    cr_expect_eq(observed.doubts, 0);
}

// Guards against a cut that is not noticed, in deployments with many and with one upstream.
Test(upstream_reach, failures_of_several_upstreams_are_a_cut_if_another_node_reaches_them)
{
    observed_reach many;
    fail_three(many.reach);
    cr_expect_eq(many.doubts, 1);
    many.reach.confirm_doubt();
    cr_expect(many.reach.state() == gateway::reach_state::cut_off);
    observed_reach single;
    single.registered = 1;
    for (int count = 0; count < 3; ++count) {
        single.reach.record_failure(upstream(1));
    }
    cr_expect_eq(single.doubts, 1);
}

// Guards against a node that gives up its own links since several upstreams are down.
Test(upstream_reach, doubt_without_confirmation_is_no_cut)
{
    observed_reach observed;
    fail_three(observed.reach);
    observed.reach.record_success();
    observed.reach.confirm_doubt();
    cr_expect(observed.reach.state() == gateway::reach_state::connected);
    fail_three(observed.reach);
    observed.reach.dismiss_doubt();
    observed.reach.confirm_doubt();
    cr_expect(observed.reach.state() == gateway::reach_state::connected);
}

// Guards against a node that goes back to its own links after a single success, or never.
Test(upstream_reach, returns_after_two_successes_in_a_row)
{
    observed_reach observed;
    fail_three(observed.reach);
    observed.reach.confirm_doubt();
    observed.reach.record_success();
    observed.reach.record_failure(upstream(1));
    observed.reach.record_success();
    cr_expect(observed.reach.state() == gateway::reach_state::cut_off);
    observed.reach.record_success();
    cr_expect(observed.reach.state() == gateway::reach_state::connected);
}
