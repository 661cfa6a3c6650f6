#include "gateway/process/gateway_node.h"

#include "gateway/budget/ledger_writers.h"
#include "gateway/budget/loan_client.h"
#include "gateway/control/budget_supply.h"
#include "gateway/control/fleet_view.h"
#include "gateway/control/generation_watch.h"
#include "gateway/control/store_counters.h"
#include "gateway/exchange/gateway_context.h"
#include "gateway/http/front_listener.h"
#include "gateway/http/internal_server.h"
#include "gateway/http/peer_client.h"
#include "gateway/process/internal_endpoints.h"
#include "gateway/process/port_opener.h"
#include "gateway/process/settings_watch.h"
#include "gateway/quarantine/quarantine_book.h"
#include "gateway/relay/relay_client.h"
#include "gateway/tunnel/tunnel_server.h"

#include <algorithm>
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
// A control thread that is later than this is logged.
constexpr milliseconds late_tick{400};
// Limits how late a waiting request notices its deadline; a draw wakes it at once.
constexpr milliseconds waiter_interval{20};
constexpr milliseconds sweep_interval{500};
// Interval at which roll-outs are judged and reported.
constexpr milliseconds rollout_interval{200};
// Requests that still run are aborted this long before the platform kills the process.
constexpr milliseconds exit_margin{350};
constexpr milliseconds call_report_interval{10000};
constexpr milliseconds drain_check_interval{20};
// Before it exits, a node ends the requests that still run, so that their use can be settled.
constexpr milliseconds settle_margin{400};
// Before that, the last answers are written to the requesters.
constexpr milliseconds answer_margin{200};
constexpr milliseconds registration_retry{500};
// Time in which a ledger writer brings new deposits into the ledgers before the next one looks.
constexpr milliseconds writer_interval{150};
// Part of the memory that incomplete responses may take. A text that grows is copied, which takes three times
// its size for a moment, and the rest of the node must fit as well.
constexpr std::size_t response_memory_divisor = 8;
// Part of the memory that requests may take which are being read or served.
constexpr std::size_t request_memory_divisor = 4;
// Part of the memory that bytes may take which requesters have not read yet.
constexpr std::size_t output_memory_divisor = 8;
constexpr std::size_t bytes_per_mb = 1U << 20U;

tcp::endpoint make_endpoint(const settings::endpoint_text& text)
{
    boost::system::error_code failure;
    return {asio::ip::make_address(text.address, failure), text.port};
}

} // namespace

class gateway_node::implementation {
public:
    explicit implementation(gateway_node_options options_to_use)
        : options(std::move(options_to_use)), generations([this](std::uint64_t generation) {
              this->control.post([this, generation] { this->on_restore(generation); });
          }),
          store(this->generations.observe(this->store_calls.count(this->options.store))),
          context{.io = this->io,
                  .availability_zone = this->options.settings.availability_zone,
                  .node = this->options.settings.id,
                  .dialect = this->options.dialect,
                  .budget = this->budget,
                  .rollouts = this->rollouts,
                  .crashes = this->crashes,
                  .answered = this->answered,
                  .limits = this->limits,
                  .requests = this->requests,
                  .responses = this->responses,
                  .output = this->output,
                  .retries = traffic::retry_budget(
                      traffic::retry_budget_options{.earned_per_success = this->options.settings.retry.share,
                                                    .maximum = this->options.settings.retry.burst})},
          supply(this->supply_options()), loans(this->io, this->loan_options()), relays(this->io),
          peers(this->io), rollouts(this->rollout_options()),
          limits({.node = this->options.settings.id,
                  .members = [this] { return this->context.board.members.read(); },
                  .utilization = this->options.settings.upstream_limits.utilization}),
          requests(this->part_of_memory(request_memory_divisor)),
          responses(this->part_of_memory(response_memory_divisor)),
          output(this->part_of_memory(output_memory_divisor)),
          crashes(this->io, {.on_crash =
                                 [this](const std::string& crash_id, const prompt_parts& prompt) {
                                     this->control.post([this, crash_id, prompt] {
                                         this->quarantine.record_crash(crash_id, prompt);
                                     });
                                 },
                             .upstreams = [this] { return this->context.board.upstreams.read(); },
                             .on_probe =
                                 [this](const tcp::endpoint& upstream, bool is_connected) {
                                     this->context.tunnels.record_own(upstream, is_connected);
                                 },
                             .is_cut_off =
                                 [this] {
                                     return this->context.tunnels.is_needed();
                                 }}),
          quarantine(this->quarantine_options()), budget(this->supply.grant_pool(), this->budget_hooks()),
          endpoints(
              this->context, this->token,
              [this](const relay_poll& poll, std::function<void(core::result<encoded_reply>)> on_reply) {
                  this->answer_poll(poll, std::move(on_reply));
              }),
          front(this->context, make_endpoint(this->options.settings.listen.requesters)),
          probes(this->io, make_endpoint(this->options.settings.listen.probes),
                 this->endpoints.probe_handler()),
          tunnels(this->io, this->tunnel_options()),
          internal(this->io, make_endpoint(this->options.settings.listen.internal),
                   this->endpoints.node_handler(),
                   [this](const request_message& request, tcp::socket connection) {
                       this->tunnels.open(request, std::move(connection));
                   }),
          signals(this->io, SIGTERM, SIGINT, SIGHUP), sweep_timer(this->io), waiter_timer(this->io),
          rollout_timer(this->io), drain_timer(this->io), settings_file(this->options.settings_file),
          view(this->view_options())
    {
    }

    core::result<void> run()
    {
        this->await_signal();
        core::release_signals();
        this->ports.open();
        while (!core::run_guarded("traffic", [this] { this->io.run(); })) {
        }
        this->stop_control();
        // From here on nobody handles signals, and one that ends the process would make its exit a failure.
        core::hold_signals();
        return this->run_outcome;
    }

private:
    port_opener_options port_options()
    {
        return port_opener_options{
            // Requesters connect last; until then probes say that the node is not ready.
            .ports = {[this] { return this->probes.start(); }, [this] { return this->internal.start(); },
                      [this] {
                          return this->front.start();
                      }},
            .on_open = [this] { this->start_serving(); },
            .on_failure =
                [this](const core::error& cause) {
                    this->run_outcome = tl::unexpected(cause);
                    this->io.stop();
                }};
    }

    void start_serving()
    {
        this->is_serving = true;
        core::log_event(core::log_level::info, "started",
                        {{"node", this->options.settings.id},
                         {"availability_zone", this->options.settings.availability_zone},
                         {"version", SAMPHIREWAY_VERSION}});
        this->sweep();
        this->check_waiters();
        this->check_rollouts();
        this->control.post([this] { this->tick(); });
        this->view.start();
        this->register_node();
    }

    budget_supply_options supply_options()
    {
        return budget_supply_options{
            .node = this->options.settings.id,
            .holder = this->holder,
            .store = this->store,
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
        return loan_client_options{.node = this->options.settings.id,
                                   .borrower = this->holder,
                                   .members = [this] { return this->context.board.members.read(); },
                                   .in_contact =
                                       [this] {
                                           return this->context.board.in_contact.read();
                                       }};
    }

    tunnel_server_options tunnel_options()
    {
        return tunnel_server_options{
            .is_authorized =
                [this](const request_message& request) { return this->endpoints.is_authorized(request); },
            .is_upstream =
                [this](const tcp::endpoint& address) {
                    const std::shared_ptr<const upstream_table> known = this->context.board.upstreams.read();
                    return known != nullptr &&
                           has_upstream_at(*known, address.address().to_string(), address.port());
                },
            .can_help =
                [this] { return !this->context.drain.is_draining() && !this->context.tunnels.is_needed(); },
            .on_connect =
                [this](const tcp::endpoint& upstream, bool is_connected) {
                    this->context.tunnels.record_own(upstream, is_connected);
                }};
    }

    budget_access_hooks budget_hooks()
    {
        return budget_access_hooks{
            .can_draw = [this] { return this->supply.can_draw() && !this->is_supply_draining; },
            .is_ledger_writer = [this] { return this->is_ledger_writer() && !this->is_supply_draining; },
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

    rollout_controller_options rollout_options()
    {
        return rollout_controller_options{
            .node = this->options.settings.id,
            .process = this->holder,
            .limits = {.exposure_share = this->options.settings.rollouts.exposure_share,
                       .exposure_slack = this->options.settings.rollouts.exposure_slack},
            .orders = [this] { return this->context.board.rollouts.read(); },
            .members = [this] { return this->context.board.members.read(); },
            .upstreams = [this] { return this->context.board.upstreams.read(); },
            .in_flight = [this](const std::string& id) { return this->context.loads.read(id).in_flight; },
            .send =
                [this](const member& judge, const rollout_report& report, core::steady_time deadline,
                       std::function<void(core::result<rollout_answer>)> on_answer) {
                    this->peers.send(
                        judge, rollout_report_path, make_rollout_report(report), deadline,
                        [on_answer = std::move(on_answer)](const core::result<std::string>& body) {
                            on_answer(body ? parse_rollout_answer(*body) : tl::unexpected(body.error()));
                        });
                },
            .write =
                [this](const rollout_order& order, rollout_state next,
                       const std::function<void(const core::result<platform::put_outcome>&)>& on_done) {
                    const bool is_started = this->run_blocking([this, order, next, on_done] {
                        const core::result<platform::put_outcome> outcome =
                            this->options.write_rollout(order, next);
                        asio::post(this->io, [on_done, outcome] { on_done(outcome); });
                    });
                    if (!is_started) {
                        on_done(core::failure(core::error_code::overloaded, "no worker thread is free"));
                    }
                }};
    }

    std::size_t part_of_memory(std::size_t divisor) const
    {
        return static_cast<std::size_t>(this->options.settings.memory_mb) * bytes_per_mb / divisor;
    }

    quarantine_book_options quarantine_options()
    {
        return quarantine_book_options{
            .node = this->options.settings.id,
            .answered = this->answered,
            .publish =
                [this](std::shared_ptr<const part_verdicts> verdicts) {
                    this->context.board.quarantine.publish(std::move(verdicts));
                },
            .write =
                [this](const Json::Value& report, platform::object_version expected,
                       const std::function<void(const core::result<platform::put_outcome>&)>& on_done) {
                    const bool is_started = this->run_blocking([this, report, expected, on_done] {
                        const auto outcome =
                            this->store.put(crashes_prefix + this->options.settings.id, report, expected);
                        this->control.post([on_done, outcome] { on_done(outcome); });
                    });
                    if (!is_started) {
                        on_done(core::failure(core::error_code::overloaded, "no worker thread is free"));
                    }
                }};
    }

    void check_rollouts()
    {
        this->rollouts.tick();
        this->rollout_timer.expires_after(rollout_interval);
        this->rollout_timer.async_wait([this](boost::system::error_code failure) {
            if (!failure) {
                this->check_rollouts();
            }
        });
    }

    bool is_ledger_writer()
    {
        return gateway::is_ledger_writer(this->context.board.members.read().get(), this->options.settings.id);
    }

    /** Runs a task on a worker thread. Returns false if none can take it. */
    bool run_blocking(std::function<void()> task)
    {
        const bool is_accepted = this->workers.submit(std::move(task));
        if (!is_accepted) {
            core::log_event(core::log_level::error, "store_call_not_started",
                            {{"reason", "the queue of the worker threads is full or closed"}});
        }
        return is_accepted;
    }

    /** Returns this node's entry among the nodes. */
    member make_member() const
    {
        const settings::endpoint_text& address = this->options.settings.listen.internal;
        return member{.id = this->options.settings.id,
                      .address = address.address,
                      .port = address.port,
                      .token = this->token,
                      .process = this->holder,
                      .availability_zone = this->options.settings.availability_zone,
                      .capacity = this->options.settings.cpu_share * this->options.settings.link_mbps};
    }

    void register_node()
    {
        this->run_blocking([this, entry = this->make_member()] {
            const core::result<void> stored = store_member(this->store, entry);
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
            .store = this->store,
            .configuration_key = this->options.configuration_key,
            .upstreams_prefix = this->options.upstreams_prefix,
            .rollouts_prefix = this->options.rollouts_prefix,
            .read_configuration = this->options.read_configuration,
            .read_upstream = this->options.read_upstream,
            .read_rollout = this->options.read_rollout,
            .watch_wait = this->options.settings.object_api.watch_wait,
            .maximum_ledger_writers = static_cast<std::size_t>(this->options.settings.budget.ledger_writers),
            .relays = this->relay_options(),
            .subscription = this->subscription_options(),
            .board = this->context.board,
            .run_control = [this](std::function<void()> task) { this->control.post(std::move(task)); },
            .on_configuration =
                [this](const gateway::configuration& next) { this->deposits.totals = prepaid_amounts(next); },
            .on_crashes = [this](const followed_batch& received) { this->quarantine.apply(received); },
            .on_restore =
                [this](const followed_batch& members) {
                    if (!has_entry_of(members, this->make_member())) {
                        this->register_node();
                    }
                },
            .on_generation = [this](std::uint64_t generation) { this->generations.record(generation); },
        };
    }

    relay_order_options relay_options() const
    {
        return relay_order_options{.node = this->options.settings.id,
                                   .availability_zone = this->options.settings.availability_zone,
                                   .relays_per_zone = this->options.settings.relays.per_zone,
                                   .minimum_nodes =
                                       static_cast<std::size_t>(this->options.settings.relays.minimum_nodes)};
    }

    relay_subscription_options subscription_options()
    {
        return relay_subscription_options{
            .poll_wait = this->options.settings.relays.poll_wait,
            .answer_timeout = this->options.settings.relays.answer_timeout,
            .maximum_age = this->options.settings.relays.maximum_age,
            .send = [this](const member& relay, const relay_poll& poll, core::steady_time deadline,
                           std::function<void(core::result<relay_reply>)> on_reply) {
                this->send_poll(relay, poll, deadline, std::move(on_reply));
            }};
    }

    /** Sends a poll from the traffic thread and passes the decoded reply to the control thread. */
    void send_poll(const member& relay, const relay_poll& poll, core::steady_time deadline,
                   std::function<void(core::result<relay_reply>)> on_reply)
    {
        asio::post(this->io, [this, relay, poll, deadline, on_reply = std::move(on_reply)] {
            this->relays.send(relay, poll, deadline,
                              [this, on_reply](core::result<raw_relay_reply> received) {
                                  this->control.post([on_reply, received = std::move(received)] {
                                      on_reply(received ? parse_relay_reply(received->status, received->news)
                                                        : tl::unexpected(received.error()));
                                  });
                              });
        });
    }

    /** Passes another node's poll to the control thread and its reply back to the traffic thread. */
    void answer_poll(const relay_poll& poll, std::function<void(core::result<encoded_reply>)> on_reply)
    {
        this->control.post([this, poll, on_reply = std::move(on_reply)] {
            const auto reply = [this, on_reply](core::result<encoded_reply> outcome) {
                asio::post(this->io, [on_reply, outcome = std::move(outcome)] { on_reply(outcome); });
            };
            const core::result<void> accepted = this->view.hub().poll(
                poll, clock::now(), [reply](const encoded_reply& encoded) { reply(encoded); });
            if (!accepted) {
                reply(tl::unexpected(accepted.error()));
            }
        });
    }

    /** Stores again what a restored object API may have lost and no list shows. */
    void on_restore(std::uint64_t generation)
    {
        core::log_event(core::log_level::warning, "store_restored",
                        {{"generation", static_cast<long long>(generation)}});
        this->supply.on_restore(clock::now());
    }

    /** Brings the deposits of the configuration and the ends of processes into the ledgers. Only the nodes
     * that draw do so, one after the other, so that mostly one of them writes. */
    void update_deposits()
    {
        const std::shared_ptr<const member_list> known = this->context.board.members.read();
        if (known == nullptr || this->deposits.totals.empty() || !this->is_ledger_writer()) {
            return;
        }
        this->deposits.node = this->options.settings.id;
        this->deposits.holder = this->holder;
        this->deposits.ended_processes = known->ended_processes;
        const auto rank =
            std::find_if(known->ledger_writers.begin(), known->ledger_writers.end(),
                         [this](const member& writer) { return writer.id == this->options.settings.id; });
        this->supply.set_deposits(this->deposits,
                                  clock::now() + writer_interval * (rank - known->ledger_writers.begin()));
    }

    void tick()
    {
        const core::steady_time now = clock::now();
        if (this->next_tick != core::steady_time{} && now > this->next_tick + late_tick) {
            // While this thread is late, the node's view of the fleet is old without any failed call.
            core::log_event(
                core::log_level::warning, "control_late",
                {{"late_ms", static_cast<long long>(
                                 std::chrono::duration_cast<milliseconds>(now - this->next_tick).count())}});
        }
        this->next_tick = now + control_interval;
        this->control.post_at(this->next_tick, [this] { this->tick(); });
        this->view.tick();
        this->quarantine.tick();
        this->update_deposits();
        this->log_store_calls();
        this->supply.tick(clock::now());
        if (this->settings_file.has_changed()) {
            this->reload();
        }
        core::flush_buffered_log();
    }

    void log_store_calls()
    {
        const core::steady_time now = clock::now();
        if (now < this->next_call_report) {
            return;
        }
        this->next_call_report = now + call_report_interval;
        std::string text;
        for (const auto& [kind, count] : this->store_calls.read()) {
            text += (text.empty() ? "" : ",") + kind.operation + "/" + kind.kind +
                    (kind.is_answered ? ":" : "/failed:") + std::to_string(count);
        }
        core::log_event(core::log_level::info, "store_calls", {{"total", text}});
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
        if (!this->is_serving) {
            core::log_event(core::log_level::info, "stopped", {{"reason", "not all ports were open yet"}});
            this->io.stop();
            return;
        }
        const core::steady_time now = clock::now();
        this->context.drain.refuse_from = now + this->options.settings.stop.notice;
        this->exit_at = now + this->options.settings.stop.grace - exit_margin;
        this->context.drain.answer_by = this->exit_at - settle_margin - answer_margin;
        this->front.answer_by(*this->context.drain.answer_by);
        core::log_event(core::log_level::info, "stopping",
                        {{"in_flight", this->context.counts.requests_in_flight},
                         {"connections", this->context.counts.requester_connections}});
        // Grants go back at once, while the ledger can be reached; until the end requests borrow.
        if (this->has_lender()) {
            this->return_grants();
        }
        this->check_drain();
    }

    void check_drain()
    {
        const core::steady_time now = clock::now();
        const bool is_idle = this->context.drain.refuses(now) && !this->context.counts.has_open_responses() &&
                             !this->tunnels.is_responding(now);
        if (this->context.drain.refuses(now) && !this->is_supply_draining) {
            this->return_grants();
        }
        const bool is_late = now >= this->exit_at - settle_margin;
        if ((is_idle || is_late) && !this->is_budget_closed) {
            this->is_budget_closed = true;
            is_late ? this->front.close_all_but_deliveries() : this->front.close_idle();
            this->budget.close();
        }
        const bool is_finished = is_idle && this->supply.is_drained() && !this->loans.is_reporting();
        if (is_finished || now >= this->exit_at) {
            core::log_event(core::log_level::info, "stopped",
                            {{"in_flight", this->context.counts.requests_in_flight},
                             {"in_delivery", this->context.counts.responses_in_delivery},
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

    void return_grants()
    {
        this->is_supply_draining = true;
        this->supply.start_drain();
    }

    /** Returns whether another node could lend budget to this one. */
    bool has_lender() const
    {
        const std::shared_ptr<const member_list> known = this->context.board.members.read();
        return known != nullptr &&
               std::any_of(known->ledger_writers.begin(), known->ledger_writers.end(),
                           [this](const member& writer) { return writer.id != this->options.settings.id; });
    }

    void sweep()
    {
        this->sweep_timer.expires_after(sweep_interval);
        this->sweep_timer.async_wait([this](boost::system::error_code failure) {
            if (!failure) {
                this->sweep();
            }
        });
        const std::shared_ptr<const upstream_table> known = this->context.board.upstreams.read();
        if (known != nullptr) {
            this->context.pool.sweep(*known, clock::now());
            this->context.notices.sweep(*known);
            this->limits.sweep(*known);
            this->context.brittle.sweep(*known);
        }
        this->budget.sweep(clock::now());
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
    store_counters store_calls;
    generation_watch generations;
    const platform::object_store store;
    asio::io_context io{1};
    gateway_context context;
    core::event_loop control;
    core::worker_pool workers{core::worker_pool_options{.maximum_threads = 2}};
    const std::string token = core::random_identifier();
    const std::string holder = this->options.settings.id + "." + core::random_identifier();
    budget_supply supply;
    loan_client loans;
    relay_client relays;
    peer_client peers;
    rollout_controller rollouts;
    upstream_limits limits;
    memory_account requests;
    memory_account responses;
    memory_account output;
    answered_parts answered;
    crash_watch crashes;
    quarantine_book quarantine; ///< Control thread only.
    budget_access budget;
    internal_endpoints endpoints;
    front_listener front;
    internal_server probes;
    tunnel_server tunnels;
    internal_server internal;
    asio::signal_set signals;
    port_opener ports{this->io, this->port_options()};
    asio::steady_timer sweep_timer;
    asio::steady_timer waiter_timer;
    asio::steady_timer rollout_timer;
    asio::steady_timer drain_timer;
    core::steady_time exit_at;
    core::result<void> run_outcome;
    bool is_serving = false;
    bool is_supply_draining = false;
    bool is_budget_closed = false;
    settings_watch settings_file; ///< Control thread only.
    deposit_update deposits;      ///< Control thread only.
    core::steady_time next_call_report;
    core::steady_time next_tick; ///< Control thread only.
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
