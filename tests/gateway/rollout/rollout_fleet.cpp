#include "gateway/rollout/rollout_fleet.h"

namespace samphireway::testing {

namespace {

using std::chrono::milliseconds;

constexpr core::steady_time order_time{std::chrono::hours(1)};
constexpr milliseconds step{10};
constexpr milliseconds tick_interval{200};
constexpr milliseconds fault_patience{5000};
constexpr double usual_latency_ms = 120;
const std::string service = "drafts";

} // namespace

rollout_fleet::rollout_fleet(rollout_fleet_options options_to_use)
    : is_cut(options_to_use.nodes), is_paused(options_to_use.nodes), options(std::move(options_to_use)),
      random(this->options.seed), nodes(this->options.nodes)
{
    for (std::size_t index = 0; index < this->options.nodes; ++index) {
        this->members->members.push_back({.id = "node-" + std::to_string(index)});
    }
    for (std::size_t index = 0; index < this->options.upstreams; ++index) {
        for (const std::string version : {"v1", "v2"}) {
            this->upstreams->by_service[service].push_back(
                std::make_shared<gateway::upstream>(gateway::upstream{
                    .id = version + "-" + std::to_string(index), .service = service, .version = version}));
        }
    }
    for (std::size_t index = 0; index < this->options.nodes; ++index) {
        this->start(index, false);
    }
}

core::steady_time rollout_fleet::now() const
{
    return order_time + this->age;
}

void rollout_fleet::publish(std::size_t index, bool is_restart)
{
    auto table = std::make_shared<gateway::rollout_table>();
    gateway::known_rollout& known = (*table)[service];
    known.order = {.service = service,
                   .target = "v2",
                   .duration = this->options.duration,
                   .state = this->stored,
                   .revision = this->revision};
    const auto before = this->nodes[index].orders;
    known.first_seen = before && !is_restart ? before->at(service).first_seen : this->now();
    known.is_found_at_start = is_restart || (before && before->at(service).is_found_at_start);
    this->nodes[index].orders = table;
}

void rollout_fleet::start(std::size_t index, bool is_restart)
{
    this->nodes[index].process = "process-" + std::to_string(this->processes++);
    this->publish(index, is_restart);
    this->nodes[index].controller =
        std::make_unique<gateway::rollout_controller>(gateway::rollout_controller_options{
            .node = this->members->members[index].id,
            .process = this->nodes[index].process,
            .limits = {.exposure_slack = 50},
            .orders = [this, index] { return this->nodes[index].orders; },
            .members = [this] { return this->members; },
            .upstreams = [this] { return this->upstreams; },
            .in_flight = [](const std::string&) { return 0; },
            .send =
                [this, index](const gateway::member& judge, const gateway::rollout_report& report,
                              core::steady_time, const auto& on_answer) {
                    const std::size_t to = std::stoul(judge.id.substr(judge.id.find('-') + 1));
                    if (this->is_cut[index] || this->is_cut[to] || this->is_paused[to]) {
                        on_answer(tl::unexpected(core::error{}));
                        return;
                    }
                    const auto sent = gateway::parse_rollout_report(gateway::make_rollout_report(report));
                    const auto answer = this->nodes[to].controller->receive(*sent);
                    on_answer(answer ? gateway::parse_rollout_answer(gateway::make_rollout_answer(*answer))
                                     : tl::unexpected(answer.error()));
                },
            .write =
                [this](const gateway::rollout_order& order, gateway::rollout_state next,
                       const auto& on_done) {
                    const bool is_stored = !this->is_store_down && order.revision == this->revision;
                    if (is_stored) {
                        this->writes_after_end += gateway::is_final(this->stored) ? 1 : 0;
                        this->stored = next;
                        ++this->revision;
                        if (gateway::is_final(next)) {
                            this->ended_at = this->age;
                        }
                        for (std::size_t to = 0; to < this->nodes.size(); ++to) {
                            this->publish(to, false);
                        }
                    }
                    on_done(platform::put_outcome{.applied = is_stored, .version = this->revision});
                },
            .time = {.now = [this] { return core::wall_time(this->now().time_since_epoch()); },
                     .steady =
                         [this] {
                             return this->now();
                         }}});
}

void rollout_fleet::restart(std::size_t index)
{
    this->start(index, true);
}

void rollout_fleet::run_until(milliseconds end)
{
    for (; this->age < end; this->age += step) {
        this->owed_requests += this->options.requests_per_second * static_cast<double>(step.count()) / 1000;
        for (; this->owed_requests >= 1; this->owed_requests -= 1) {
            this->serve_request();
        }
        if (this->age >= this->next_tick) {
            this->next_tick += tick_interval;
            for (std::size_t index = 0; index < this->nodes.size(); ++index) {
                if (!this->is_paused[index]) {
                    this->nodes[index].controller->tick();
                }
            }
        }
    }
}

void rollout_fleet::serve_request()
{
    std::uniform_real_distribution<double> fraction(0, 1);
    std::lognormal_distribution<double> latency(std::log(usual_latency_ms), 0.5);
    const std::size_t index = this->random() % this->nodes.size();
    if (this->is_paused[index]) {
        return;
    }
    gateway::rollout_controller& controller = *this->nodes[index].controller;
    const auto choice = controller.choose(service, true);
    const auto eligible = gateway::eligible_upstreams(this->upstreams->by_service[service], *choice,
                                                      [](const gateway::upstream&) { return false; });
    const auto& target = eligible[this->random() % eligible.size()];
    const std::string route = fraction(this->random) < 0.6 ? "reports" : "replies";
    const bool is_target = target->version == "v2";
    const version_behaviour& behaviour = this->options.target;
    const bool is_faulty =
        is_target && this->age >= behaviour.faulty_from &&
        (behaviour.faulty_route.empty() || behaviour.faulty_route == route) &&
        (behaviour.faulty_upstream < 0 || target->id == "v2-" + std::to_string(behaviour.faulty_upstream)) &&
        fraction(this->random) < behaviour.fault_share;
    moves::sample observed{.is_error = fraction(this->random) < (route == "replies"
                                                                     ? this->options.replies_fault_share
                                                                     : this->options.stable_fault_share)};
    double took = latency(this->random);
    if (is_faulty && behaviour.slow_factor > 0) {
        took *= behaviour.slow_factor;
    }
    else if (is_faulty) {
        observed.is_error = true;
    }
    if (!observed.is_error) {
        observed.first_token = std::chrono::microseconds(static_cast<std::int64_t>(took * 1000));
    }
    ++this->all_requests;
    this->target_requests += is_target ? 1 : 0;
    this->target_faults += is_faulty ? 1 : 0;
    if (this->target_faults == 50 && !this->fiftieth_fault) {
        this->fiftieth_fault = this->age;
    }
    if (is_target && this->fiftieth_fault && this->age > *this->fiftieth_fault + fault_patience) {
        ++this->late_requests;
    }
    controller.observe(*target, route, observed);
}

} // namespace samphireway::testing
