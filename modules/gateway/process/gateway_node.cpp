#include "gateway/process/gateway_node.h"

#include "gateway/budget/ledger_writers.h"
#include "gateway/budget/loan_client.h"
#include "gateway/control/budget_supply.h"
#include "gateway/control/fleet_view.h"
#include "gateway/exchange/gateway_context.h"
#include "gateway/http/front_listener.h"
#include "gateway/http/internal_server.h"
#include "gateway/process/internal_endpoints.h"
#include "gateway/process/settings_watch.h"

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

// Interval at which missing upstreams expire, the budget supply runs, settings are checked and the log
// is flushed.
constexpr milliseconds control_interval{100};
// Limits how late a waiting request notices its deadline; a draw wakes it at once.
constexpr milliseconds waiter_interval{20};
constexpr milliseconds sweep_interval{500};
// Requests that still run are aborted this long before the platform kills the process.
constexpr milliseconds exit_margin{350};
constexpr milliseconds drain_check_interval{20};
constexpr milliseconds registration_retry{500};
// Nodes that are not ledger writers need not write deposits and close their earlier grants at once. They
// spread these writes over this time.
constexpr milliseconds maximum_deposit_delay{10000};

tcp::endpoint make_endpoint(const settings::endpoint_text& text)
{
    boost::system::error_code failure;
    return {asio::ip::make_address(text.address, failure), text.port};
}

} // namespace

class gateway_node::implementation {
public:
    explicit implementation(gateway_node_options options_to_use)
        : options(std::move(options_to_use)),
          context{.io = this->io,
                  .availability_zone = this->options.settings.availability_zone,
                  .dialect = this->options.dialect,
                  .budget = this->budget,
                  .retries = traffic::retry_budget(
                      traffic::retry_budget_options{.earned_per_success = this->options.settings.retry.share,
                                                    .maximum = this->options.settings.retry.burst})},
          supply(this->supply_options()), loans(this->io, this->loan_options()),
          budget(this->supply.grant_pool(), this->budget_hooks()), endpoints(this->context, this->token),
          front(this->context, make_endpoint(this->options.settings.listen.requesters)),
          probes(this->io, make_endpoint(this->options.settings.listen.probes),
                 this->endpoints.probe_handler()),
          internal(this->io, make_endpoint(this->options.settings.listen.internal),
                   this->endpoints.node_handler()),
          signals(this->io, SIGTERM, SIGINT, SIGHUP), sweep_timer(this->io), waiter_timer(this->io),
          drain_timer(this->io), settings_file(this->options.settings_file), view(this->view_options())
    {
    }

    core::result<void> run()
    {
        core::result<void> listening = this->front.start();
        if (listening) {
            listening = this->probes.start();
        }
        if (listening) {
            listening = this->internal.start();
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
        this->view.start();
        this->register_node();
        this->io.run();
        this->stop_control();
        return {};
    }

private:
    budget_supply_options supply_options()
    {
        return budget_supply_options{
            .node = this->options.settings.id,
            .holder = this->holder,
            .store = this->options.store,
            .budget = this->options.settings.budget,
            .run_control = [this](std::function<void()> task) { this->control.post(std::move(task)); },
            .run_control_at =
                [this](core::steady_time time, std::function<void()> task) {
                    this->control.post_at(time, std::move(task));
                },
            .run_blocking = [this](std::function<void()> task) { this->run_blocking(std::move(task)); },
            .on_change = [this] { asio::post(this->io, [this] { this->budget.check(clock::now()); }); },
        };
    }

    loan_client_options loan_options()
    {
        return loan_client_options{
            .node = this->options.settings.id, .borrower = this->holder, .members = [this] {
                return this->context.board.members.read();
            }};
    }

    budget_access_hooks budget_hooks()
    {
        return budget_access_hooks{
            .can_draw = [this] { return this->supply.can_draw(); },
            .is_ledger_writer = [this] { return this->is_ledger_writer(); },
            .borrow =
                [this](const std::string& workspace, std::int64_t tokens,
                       std::function<void(core::result<loan>)> on_loan) {
                    this->loans.borrow(workspace, tokens, std::move(on_loan));
                },
            .report =
                [this](const outgoing_loan_report& report, std::function<void()> on_not_sent) {
                    this->loans.report(report, std::move(on_not_sent));
                }};
    }

    bool is_ledger_writer()
    {
        return gateway::is_ledger_writer(this->context.board.members.read().get(), this->options.settings.id);
    }

    void run_blocking(std::function<void()> task)
    {
        if (!this->workers.submit(std::move(task))) {
            core::log_event(core::log_level::error, "store_call_not_started",
                            {{"reason", "the queue of the worker threads is full or closed"}});
        }
    }

    void register_node()
    {
        const settings::endpoint_text& address = this->options.settings.listen.internal;
        const member entry{.id = this->options.settings.id,
                           .address = address.address,
                           .port = address.port,
                           .token = this->token};
        this->run_blocking([this, entry] {
            const core::result<void> stored = store_member(this->options.store, entry);
            if (!stored) {
                core::log_event(core::log_level::warning, "node_not_registered",
                                {{"reason", stored.error().message}});
                this->control.post_at(clock::now() + registration_retry, [this] { this->register_node(); });
            }
        });
    }

    fleet_view_options view_options()
    {
        return fleet_view_options{
            .store = this->options.store,
            .configuration_key = this->options.configuration_key,
            .upstreams_prefix = this->options.upstreams_prefix,
            .read_configuration = this->options.read_configuration,
            .read_upstream = this->options.read_upstream,
            .watch_wait = this->options.settings.object_api.watch_wait,
            .maximum_ledger_writers = static_cast<std::size_t>(this->options.settings.budget.ledger_writers),
            .board = this->context.board,
            .run_control = [this](std::function<void()> task) { this->control.post(std::move(task)); },
            .on_configuration =
                [this](const gateway::configuration& next) {
                    this->supply.set_deposits(prepaid_amounts(next), this->deposit_time());
                },
        };
    }

    core::steady_time deposit_time()
    {
        const core::steady_time now = clock::now();
        if (this->is_ledger_writer()) {
            return now;
        }
        return now + milliseconds(core::hash64(this->options.settings.id) %
                                  static_cast<std::uint64_t>(maximum_deposit_delay.count()));
    }

    void tick()
    {
        this->view.expire(clock::now());
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
        if (this->context.drain.is_draining()) {
            return;
        }
        const core::steady_time now = clock::now();
        this->context.drain.refuse_from = now + this->options.settings.stop.notice;
        this->exit_at = now + this->options.settings.stop.grace - exit_margin;
        core::log_event(core::log_level::info, "stopping",
                        {{"in_flight", this->context.counts.requests_in_flight},
                         {"connections", this->context.counts.requester_connections}});
        this->check_drain();
    }

    void check_drain()
    {
        const core::steady_time now = clock::now();
        const bool is_idle = this->context.drain.refuses(now) && this->context.counts.requests_in_flight == 0;
        if (is_idle && !this->is_supply_draining) {
            this->is_supply_draining = true;
            this->front.close_idle();
            this->budget.close();
            this->supply.start_drain();
        }
        const bool is_finished = is_idle && this->supply.is_drained() && !this->loans.is_reporting();
        if (is_finished || now >= this->exit_at) {
            core::log_event(core::log_level::info, "stopped",
                            {{"in_flight", this->context.counts.requests_in_flight},
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
        const std::shared_ptr<const upstream_table> known = this->context.board.upstreams.read();
        if (known != nullptr) {
            this->context.pool.sweep(*known, clock::now());
        }
        this->budget.sweep(clock::now());
        this->sweep_timer.expires_after(sweep_interval);
        this->sweep_timer.async_wait([this](boost::system::error_code failure) {
            if (!failure) {
                this->sweep();
            }
        });
    }

    void check_waiters()
    {
        this->budget.check(clock::now());
        this->waiter_timer.expires_after(this->budget.is_waiting() ? waiter_interval : sweep_interval);
        this->waiter_timer.async_wait([this](boost::system::error_code failure) {
            if (!failure) {
                this->check_waiters();
            }
        });
    }

    void stop_control()
    {
        this->options.interrupt_store();
        this->view.stop();
        this->workers.shutdown();
        this->control.stop();
        core::flush_buffered_log();
    }

    const gateway_node_options options;
    asio::io_context io{1};
    gateway_context context;
    core::event_loop control;
    core::worker_pool workers{core::worker_pool_options{.maximum_threads = 2}};
    const std::string token = core::random_identifier();
    const std::string holder = this->options.settings.id + "." + core::random_identifier();
    budget_supply supply;
    loan_client loans;
    budget_access budget;
    internal_endpoints endpoints;
    front_listener front;
    internal_server probes;
    internal_server internal;
    asio::signal_set signals;
    asio::steady_timer sweep_timer;
    asio::steady_timer waiter_timer;
    asio::steady_timer drain_timer;
    core::steady_time exit_at;
    bool is_supply_draining = false;
    settings_watch settings_file; ///< Control thread only.
    fleet_view view;
};

gateway_node::gateway_node(gateway_node_options options_to_use)
    : state(std::make_unique<implementation>(std::move(options_to_use)))
{
}

gateway_node::~gateway_node() = default;

core::result<void> gateway_node::run()
{
    return this->state->run();
}

} // namespace samphireway::gateway
