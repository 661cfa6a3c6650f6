#include "gateway/process/gateway_node.h"

#include "gateway/control/budget_supply.h"
#include "gateway/exchange/gateway_context.h"
#include "gateway/http/front_listener.h"
#include "gateway/http/probe_server.h"
#include "gateway/process/gateway_metrics.h"
#include "gateway/process/settings_watch.h"

#include <atomic>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>

namespace samphireway::gateway {

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

// Interval of expiries, log writes and checks for changed settings.
constexpr milliseconds control_interval{100};
// Bounds how late a waiting request notices its deadline; draws wake it at once.
constexpr milliseconds waiter_interval{20};
constexpr milliseconds sweep_interval{500};
// Requests still running are cut off this long before the platform kills the process.
constexpr milliseconds exit_margin{350};
constexpr milliseconds drain_check_interval{20};

tcp::endpoint make_endpoint(const settings::endpoint_text& text)
{
    boost::system::error_code failure;
    return {asio::ip::make_address(text.address, failure), text.port};
}

} // namespace

class gateway_node::implementation {
public:
    explicit implementation(gateway_node_options given)
        : options(std::move(given)), supply(this->supply_options()), health(routing::health_options{}),
          retries(traffic::retry_budget_options{.earned_per_success = this->options.settings.retry.share,
                                                .maximum = this->options.settings.retry.burst}),
          pool(this->io),
          waiters(this->supply.purse()), context{.io = this->io,
                                                 .availability_zone =
                                                     this->options.settings.availability_zone,
                                                 .board = this->board,
                                                 .dialect = this->options.dialect,
                                                 .purse = this->supply.purse(),
                                                 .waiters = this->waiters,
                                                 .can_draw_budget =
                                                     [this] { return this->supply.can_draw(); },
                                                 .health = this->health,
                                                 .retries = this->retries,
                                                 .pool = this->pool,
                                                 .loads = this->loads,
                                                 .drain = this->drain,
                                                 .counts = this->counts},
          front(this->context, make_endpoint(this->options.settings.listen.requesters)),
          probes(this->io, make_endpoint(this->options.settings.listen.probes), this->probe_hooks_of()),
          metrics(this->io, this->metrics_endpoint(), this->probe_hooks_of()),
          signals(this->io, SIGTERM, SIGINT, SIGHUP), sweep_timer(this->io), waiter_timer(this->io),
          drain_timer(this->io), upstreams(this->options.read_upstream),
          configuration(this->options.configuration_key, this->options.read_configuration),
          settings_file(this->options.settings_file), configuration_follower(this->configuration_options()),
          upstream_follower(this->upstream_options())
    {
    }

    core::result<void> run()
    {
        core::result<void> listening = this->front.start();
        if (listening) {
            listening = this->probes.start();
        }
        if (listening && this->options.settings.listen.metrics_port != 0) {
            listening = this->metrics.start();
        }
        if (!listening) {
            this->stop_control();
            return listening;
        }
        core::log_event(core::log_level::info, "started",
                        {{"node", this->options.settings.id},
                         {"availability_zone", this->options.settings.availability_zone},
                         {"version", SAMPHIREWAY_VERSION}});
        this->await_signal();
        this->sweep();
        this->check_waiters();
        this->control.post([this] { this->tick(); });
        this->configuration_follower.start();
        this->upstream_follower.start();
        this->io.run();
        this->stop_control();
        return {};
    }

private:
    budget_supply_options supply_options()
    {
        return budget_supply_options{
            .node = this->options.settings.id,
            .holder = this->options.settings.id + "." + core::random_identifier(),
            .store = this->options.store,
            .budget = this->options.settings.budget,
            .run_control = [this](std::function<void()> task) { this->control.post(std::move(task)); },
            .on_change = [this] { asio::post(this->io, [this] { this->waiters.check(clock::now()); }); },
        };
    }

    probe_hooks probe_hooks_of()
    {
        return probe_hooks{.is_ready = [this] { return this->is_ready(); },
                           .metrics =
                               [this] {
                                   return write_metrics(this->counts, *this->context_table(),
                                                        this->pool.opened(), this->health);
                               }};
    }

    std::shared_ptr<const upstream_table> context_table() const
    {
        const std::shared_ptr<const upstream_table> known = this->board.upstreams.read();
        return known == nullptr ? std::make_shared<const upstream_table>() : known;
    }

    tcp::endpoint metrics_endpoint() const
    {
        const settings::gateway_listen_settings& listen = this->options.settings.listen;
        return make_endpoint({.address = listen.probes.address, .port = listen.metrics_port});
    }

    bool is_ready() const
    {
        return !this->drain.is_draining() && this->board.routes.read() != nullptr &&
               this->board.upstreams.read() != nullptr;
    }

    follower_options configuration_options()
    {
        const std::string prefix =
            this->options.configuration_key.substr(0, this->options.configuration_key.find('/') + 1);
        return this->follow(prefix, [this](const followed_batch& received) {
            const std::shared_ptr<const route_table> next = this->configuration.apply(received);
            if (next != nullptr) {
                this->board.routes.publish(next);
                this->supply.set_deposits(prepaid_amounts(next->source()));
            }
        });
    }

    follower_options upstream_options()
    {
        follower_options result =
            this->follow(this->options.upstreams_prefix, [this](const followed_batch& received) {
                const bool is_changed = this->upstreams.apply(received, clock::now());
                if (is_changed || this->board.upstreams.read() == nullptr) {
                    this->board.upstreams.publish(this->upstreams.table());
                }
            });
        const std::function<void(const core::error&)> report = result.on_failure;
        result.on_failure = [this, report](const core::error& failure) {
            report(failure);
            this->control.post([this] { this->upstreams.lost_contact(clock::now()); });
        };
        return result;
    }

    follower_options follow(const std::string& prefix, std::function<void(const followed_batch&)> apply)
    {
        auto is_lost = std::make_shared<std::atomic<bool>>(false);
        return follower_options{
            .store = this->options.store,
            .prefix = prefix,
            .watch_wait = this->options.settings.object_api.watch_wait,
            .on_batch =
                [this, prefix, is_lost, apply = std::move(apply)](followed_batch received) {
                    if (is_lost->exchange(false)) {
                        core::log_event(core::log_level::info, "object_api_regained", {{"prefix", prefix}});
                    }
                    this->control.post([apply, received = std::move(received)] { apply(received); });
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

    void tick()
    {
        if (this->upstreams.expire(clock::now())) {
            this->board.upstreams.publish(this->upstreams.table());
        }
        this->supply.tick(clock::now());
        if (this->settings_file.has_changed()) {
            this->reload();
        }
        core::flush_buffered_log();
        this->control.post_at(clock::now() + control_interval, [this] { this->tick(); });
    }

    void reload()
    {
        const core::result<settings::gateway_settings> read =
            settings::load_gateway_settings(this->options.settings_file);
        if (!read) {
            core::log_event(core::log_level::error, "settings_rejected", {{"reason", read.error().message}});
            return;
        }
        core::set_log_level(read->log_level);
        core::log_event(core::log_level::info, "settings_reloaded", {{"node", read->id}});
    }

    void await_signal()
    {
        this->signals.async_wait([this](boost::system::error_code failure, int number) {
            if (failure) {
                return;
            }
            if (number == SIGHUP) {
                this->control.post([this] { this->reload(); });
            }
            else {
                this->start_drain();
            }
            this->await_signal();
        });
    }

    void start_drain()
    {
        if (this->drain.is_draining()) {
            return;
        }
        const core::steady_time now = clock::now();
        this->drain.refuse_from = now + this->options.settings.stop.notice;
        this->exit_at = now + this->options.settings.stop.grace - exit_margin;
        core::log_event(core::log_level::info, "stopping",
                        {{"in_flight", this->counts.requests_in_flight},
                         {"connections", this->counts.requester_connections}});
        this->check_drain();
    }

    void check_drain()
    {
        const core::steady_time now = clock::now();
        const bool is_quiet = this->drain.refuses(now) && this->counts.requests_in_flight == 0;
        if (is_quiet && !this->is_supply_draining) {
            this->is_supply_draining = true;
            this->front.close_idle();
            this->supply.start_drain();
        }
        const bool is_done = is_quiet && this->supply.is_drained();
        if (is_done || now >= this->exit_at) {
            core::log_event(core::log_level::info, "stopped",
                            {{"in_flight", this->counts.requests_in_flight},
                             {"budget_returned", this->supply.is_drained() ? "true" : "false"}});
            this->io.stop();
            return;
        }
        this->drain_timer.expires_after(drain_check_interval);
        this->drain_timer.async_wait([this](boost::system::error_code failure) {
            if (!failure) {
                this->check_drain();
            }
        });
    }

    void sweep()
    {
        const std::shared_ptr<const upstream_table> known = this->board.upstreams.read();
        if (known != nullptr) {
            this->pool.sweep(*known, clock::now());
        }
        this->sweep_timer.expires_after(sweep_interval);
        this->sweep_timer.async_wait([this](boost::system::error_code failure) {
            if (!failure) {
                this->sweep();
            }
        });
    }

    void check_waiters()
    {
        this->waiters.check(clock::now());
        this->waiter_timer.expires_after(this->waiters.is_empty() ? sweep_interval : waiter_interval);
        this->waiter_timer.async_wait([this](boost::system::error_code failure) {
            if (!failure) {
                this->check_waiters();
            }
        });
    }

    void stop_control()
    {
        this->options.interrupt_store();
        this->configuration_follower.stop();
        this->upstream_follower.stop();
        this->supply.stop();
        this->control.stop();
        core::flush_buffered_log();
    }

    const gateway_node_options options;
    asio::io_context io{1};
    blackboard board;
    core::event_loop control;
    budget_supply supply;
    routing::health_table health;
    traffic::retry_budget retries;
    upstream_pool pool;
    load_tracker loads;
    budget_waiters waiters;
    drain_state drain;
    counters counts;
    gateway_context context;
    front_listener front;
    probe_server probes;
    probe_server metrics;
    asio::signal_set signals;
    asio::steady_timer sweep_timer;
    asio::steady_timer waiter_timer;
    asio::steady_timer drain_timer;
    core::steady_time exit_at;
    bool is_supply_draining = false;
    upstream_tracker upstreams;          ///< Control thread only.
    configuration_tracker configuration; ///< Control thread only.
    settings_watch settings_file;        ///< Control thread only.
    object_follower configuration_follower;
    object_follower upstream_follower;
};

gateway_node::gateway_node(gateway_node_options given)
    : state(std::make_unique<implementation>(std::move(given)))
{
}

gateway_node::~gateway_node() = default;

core::result<void> gateway_node::run()
{
    return this->state->run();
}

} // namespace samphireway::gateway
