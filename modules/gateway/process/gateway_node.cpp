#include "gateway/process/gateway_node.h"

#include "gateway/budget/drawer_choice.h"
#include "gateway/budget/loan_client.h"
#include "gateway/control/budget_supply.h"
#include "gateway/control/member_tracker.h"
#include "gateway/exchange/gateway_context.h"
#include "gateway/http/front_listener.h"
#include "gateway/http/internal_server.h"
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
constexpr milliseconds registration_retry{500};
constexpr milliseconds member_watch_wait{10000};
// A service's upstreams start and leave in groups, and each change wakes every node. Half of the two seconds
// from which a leaving upstream must get no more requests.
constexpr milliseconds upstream_interval{1000};
// Configurations come in quick succession. A quarter of the two seconds in which one must be in force.
constexpr milliseconds configuration_interval{500};
// The nodes of a large fleet start together; each change read by itself would cost every node a call.
constexpr milliseconds member_interval{2000};
// A node that does not draw needs its deposits and the end of its earlier grants only some time after a
// change.
constexpr milliseconds deposit_spread{10000};

const std::string metrics_path = "/metrics";
constexpr unsigned status_ok = 200;
constexpr unsigned status_bad_request = 400;
constexpr unsigned status_unauthorized = 401;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_unavailable = 503;

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
          pool(this->io), loans(this->io, this->loan_options()),
          budget(this->supply.purse(), this->budget_hooks()),
          context{.io = this->io,
                  .availability_zone = this->options.settings.availability_zone,
                  .board = this->board,
                  .dialect = this->options.dialect,
                  .budget = this->budget,
                  .health = this->health,
                  .retries = this->retries,
                  .pool = this->pool,
                  .loads = this->loads,
                  .drain = this->drain,
                  .counts = this->counts},
          front(this->context, make_endpoint(this->options.settings.listen.requesters)),
          probes(this->io, make_endpoint(this->options.settings.listen.probes), this->answer_probes()),
          internal(this->io, make_endpoint(this->options.settings.listen.internal), this->answer_nodes()),
          signals(this->io, SIGTERM, SIGINT, SIGHUP), sweep_timer(this->io), waiter_timer(this->io),
          drain_timer(this->io), upstreams(this->options.read_upstream),
          configuration(this->options.configuration_key, this->options.read_configuration),
          settings_file(this->options.settings_file), configuration_follower(this->configuration_options()),
          upstream_follower(this->upstream_options()), member_follower(this->member_options())
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
        this->configuration_follower.start();
        this->upstream_follower.start();
        this->member_follower.start();
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
                return this->board.members.read();
            }};
    }

    budget_access_hooks budget_hooks()
    {
        return budget_access_hooks{.can_draw = [this] { return this->supply.can_draw(); },
                                   .is_drawer = [this] { return this->is_drawer(); },
                                   .borrow =
                                       [this](const std::string& workspace, std::int64_t tokens,
                                              std::function<void(core::result<loan>)> on_loan) {
                                           this->loans.borrow(workspace, tokens, std::move(on_loan));
                                       },
                                   .report =
                                       [this](const due_report& report, std::function<void()> on_not_sent) {
                                           this->loans.report(report, std::move(on_not_sent));
                                       }};
    }

    bool is_drawer()
    {
        return gateway::is_drawer(this->board.members.read().get(), this->options.settings.id);
    }

    void run_blocking(std::function<void()> task)
    {
        if (!this->workers.submit(std::move(task))) {
            core::log_event(core::log_level::error, "store_call_not_started",
                            {{"reason", "the worker queue is full or closed"}});
        }
    }

    internal_handler answer_probes()
    {
        return [this](const request_message& request, const std::function<void(internal_response)>& answer) {
            if (request.target == metrics_path) {
                answer(this->metrics_response());
                return;
            }
            answer(internal_response{.status = this->is_ready() ? status_ok : status_unavailable});
        };
    }

    internal_handler answer_nodes()
    {
        return [this](const request_message& request, const std::function<void(internal_response)>& answer) {
            if (request.target == metrics_path) {
                answer(this->metrics_response());
                return;
            }
            const bool is_loan = request.target == loan_path;
            if (request.method != "POST" || (!is_loan && request.target != loan_report_path)) {
                answer(internal_response{.status = status_not_found});
                return;
            }
            const std::string* const proof = find_header(request.headers, "Authorization");
            if (proof == nullptr || !core::equal_in_constant_time(*proof, "Bearer " + this->token)) {
                answer(internal_response{.status = status_unauthorized});
                return;
            }
            if (is_loan) {
                this->answer_loan(request, answer);
                return;
            }
            this->answer_loan_report(request, answer);
        };
    }

    internal_response metrics_response() const
    {
        return internal_response{
            .body = write_metrics(this->counts, *this->known_upstreams(), this->pool.opened(), this->health),
            .content_type = "text/plain; version=0.0.4"};
    }

    void answer_loan(const request_message& request, const std::function<void(internal_response)>& answer)
    {
        const core::result<loan_call> call = parse_loan_call(request.body);
        if (!call) {
            answer(internal_response{.status = status_bad_request, .body = call.error().message});
            return;
        }
        this->budget.lend(*call, clock::now(), [answer, call = *call](const core::result<void>& lent) {
            const int status = lent ? static_cast<int>(status_ok) : core::http_status(lent.error().code);
            core::log_event(lent ? core::log_level::debug : core::log_level::info, "loan",
                            {{"borrower", call.borrower},
                             {"workspace", call.workspace},
                             {"tokens", call.tokens},
                             {"status", status}});
            answer(internal_response{.status = static_cast<unsigned>(status)});
        });
    }

    void answer_loan_report(const request_message& request,
                            const std::function<void(internal_response)>& answer)
    {
        const core::result<loan_report> report = parse_loan_report(request.body);
        if (!report) {
            answer(internal_response{.status = status_bad_request, .body = report.error().message});
            return;
        }
        this->budget.take_report(*report);
        answer(internal_response{});
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

    std::shared_ptr<const upstream_table> known_upstreams() const
    {
        const std::shared_ptr<const upstream_table> known = this->board.upstreams.read();
        return known == nullptr ? std::make_shared<const upstream_table>() : known;
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
        follower_options result = this->follow(prefix, [this](const followed_batch& received) {
            const std::shared_ptr<const route_table> next = this->configuration.apply(received);
            if (next != nullptr) {
                this->board.routes.publish(next);
                this->supply.set_deposits(prepaid_amounts(next->source()), this->deposits_due());
            }
        });
        result.least_interval = configuration_interval;
        return result;
    }

    core::steady_time deposits_due()
    {
        const core::steady_time now = clock::now();
        if (this->is_drawer()) {
            return now;
        }
        return now + milliseconds(core::hash64(this->options.settings.id) %
                                  static_cast<std::uint64_t>(deposit_spread.count()));
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
        result.least_interval = upstream_interval;
        const std::function<void(const core::error&)> report = result.on_failure;
        result.on_failure = [this, report](const core::error& failure) {
            report(failure);
            this->control.post([this] { this->upstreams.lost_contact(clock::now()); });
        };
        return result;
    }

    follower_options member_options()
    {
        follower_options result = this->follow(members_prefix, [this](const followed_batch& received) {
            this->board.members.publish(this->members.apply(received));
        });
        // Nodes come and go rarely, and a late entry only costs a loan.
        result.watch_wait = member_watch_wait;
        result.least_interval = member_interval;
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
            this->budget.close();
            this->supply.start_drain();
        }
        const bool is_done = is_quiet && this->supply.is_drained() && !this->loans.is_reporting();
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
        this->configuration_follower.stop();
        this->upstream_follower.stop();
        this->member_follower.stop();
        this->workers.shutdown();
        this->control.stop();
        core::flush_buffered_log();
    }

    const gateway_node_options options;
    asio::io_context io{1};
    blackboard board;
    core::event_loop control;
    core::worker_pool workers{core::worker_pool_options{.maximum_threads = 2}};
    const std::string token = core::random_identifier();
    const std::string holder = this->options.settings.id + "." + core::random_identifier();
    budget_supply supply;
    routing::health_table health;
    traffic::retry_budget retries;
    upstream_pool pool;
    load_tracker loads;
    loan_client loans;
    budget_access budget;
    drain_state drain;
    counters counts;
    gateway_context context;
    front_listener front;
    internal_server probes;
    internal_server internal;
    asio::signal_set signals;
    asio::steady_timer sweep_timer;
    asio::steady_timer waiter_timer;
    asio::steady_timer drain_timer;
    core::steady_time exit_at;
    bool is_supply_draining = false;
    upstream_tracker upstreams;          ///< Control thread only.
    configuration_tracker configuration; ///< Control thread only.
    member_tracker members{
        static_cast<std::size_t>(this->options.settings.budget.drawers)}; ///< Control thread only.
    settings_watch settings_file;                                         ///< Control thread only.
    object_follower configuration_follower;
    object_follower upstream_follower;
    object_follower member_follower;
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
