#include "gateway/control/fleet_view.h"

#include <atomic>

namespace samphireway::gateway {

namespace {

using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

// Nodes join and leave rarely, and a late entry only costs a loan.
constexpr milliseconds member_watch_wait{10000};
// A service's upstreams start and leave in groups, and each change wakes every node, so changes are
// batched. The interval is half of the two seconds after which a leaving upstream must get no more requests.
constexpr milliseconds upstream_interval{1000};
// Configurations may arrive in quick succession. The interval is a quarter of the two seconds within which
// a configuration must be in force.
constexpr milliseconds configuration_interval{500};
// The nodes of a large fleet start together, and reading each change separately would cost every node a
// call per change.
constexpr milliseconds member_interval{2000};

} // namespace

fleet_view::fleet_view(fleet_view_options options_to_use)
    : options(std::move(options_to_use)),
      configurations(this->options.configuration_key, this->options.read_configuration),
      upstreams(this->options.read_upstream), members(this->options.maximum_ledger_writers),
      configuration_follower(this->configuration_options()), upstream_follower(this->upstream_options()),
      member_follower(this->member_options())
{
}

void fleet_view::start()
{
    this->configuration_follower.start();
    this->upstream_follower.start();
    this->member_follower.start();
}

void fleet_view::stop()
{
    this->configuration_follower.stop();
    this->upstream_follower.stop();
    this->member_follower.stop();
}

void fleet_view::expire(core::steady_time now)
{
    if (this->upstreams.expire(now)) {
        this->options.board.upstreams.publish(this->upstreams.table());
    }
}

follower_options fleet_view::configuration_options()
{
    const std::string& key = this->options.configuration_key;
    return this->make_follower_options(
        key.substr(0, key.find('/') + 1), configuration_interval, [this](const followed_batch& received) {
            const std::shared_ptr<const route_table> next = this->configurations.apply(received);
            if (next != nullptr) {
                this->options.board.routes.publish(next);
                this->options.on_configuration(next->source());
            }
        });
}

follower_options fleet_view::upstream_options()
{
    follower_options result = this->make_follower_options(
        this->options.upstreams_prefix, upstream_interval, [this](const followed_batch& received) {
            const bool has_changed = this->upstreams.apply(received, clock::now());
            if (has_changed || this->options.board.upstreams.read() == nullptr) {
                this->options.board.upstreams.publish(this->upstreams.table());
            }
        });
    const std::function<void(const core::error&)> report = result.on_failure;
    result.on_failure = [this, report](const core::error& failure) {
        report(failure);
        this->options.run_control([this] { this->upstreams.set_disconnected(clock::now()); });
    };
    return result;
}

follower_options fleet_view::member_options()
{
    follower_options result =
        this->make_follower_options(members_prefix, member_interval, [this](const followed_batch& received) {
            this->options.board.members.publish(this->members.apply(received));
        });
    result.watch_wait = member_watch_wait;
    return result;
}

follower_options fleet_view::make_follower_options(const std::string& prefix, milliseconds minimum_interval,
                                                   std::function<void(const followed_batch&)> apply)
{
    auto is_lost = std::make_shared<std::atomic<bool>>(false);
    return follower_options{
        .store = this->options.store,
        .prefix = prefix,
        .watch_wait = this->options.watch_wait,
        .minimum_interval = minimum_interval,
        .on_batch =
            [this, prefix, is_lost, apply = std::move(apply)](followed_batch received) {
                if (is_lost->exchange(false)) {
                    core::log_event(core::log_level::info, "object_api_regained", {{"prefix", prefix}});
                }
                this->options.run_control([apply, received = std::move(received)] { apply(received); });
            },
        .on_failure =
            [prefix, is_lost](const core::error& failure) {
                if (!is_lost->exchange(true)) {
                    core::log_event(core::log_level::warning, "object_api_lost",
                                    {{"prefix", prefix},
                                     {"code", core::to_string(failure.code)},
                                     {"reason", failure.message}});
                }
            },
    };
}

} // namespace samphireway::gateway
