#include "gateway/rollout/rollout_controller.h"

#include "gateway/relay/relay_order.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

namespace samphireway::gateway {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// Every node reports to these, so that the loss of one or two costs nothing.
constexpr std::size_t judge_count = 3;
// In a fleet of some hundred nodes each judge receives a hundred reports a second at most.
constexpr milliseconds shortest_report_interval{400};
constexpr milliseconds report_interval_per_node{10};
constexpr milliseconds longest_report_interval{2000};
constexpr milliseconds answer_timeout{300};
// A judge that did not answer is passed over for this long.
constexpr milliseconds silence_pause{2000};
// Without an answer for this long, a node judges by its own evidence.
constexpr milliseconds judge_patience{1500};
// A report older than this says nothing of a node's present requests.
constexpr milliseconds report_age_limit{2500};
constexpr milliseconds write_retry_interval{400};
// The second judge stores a state this much after the first, the third after twice the time.
constexpr milliseconds rank_delay{300};
// All nodes know a final state that the object API has lost. Mostly the first of them stores it again before
// the others try.
constexpr milliseconds longest_lost_state_delay{2000};
// A fault that begins late shows in the outcomes of a recent period before it shows in all.
constexpr std::array recent_periods{milliseconds(2000), milliseconds(4000), milliseconds(8000),
                                    milliseconds(16000)};
constexpr milliseconds snapshot_interval{1000};
// Reports arrive no more often.
constexpr milliseconds look_interval{400};
// A restarted node observes for this long before it gives the target version more than the canary's share.
constexpr milliseconds least_observation{2000};
constexpr std::size_t maximum_processes = 4096;

// While a version is observed, the outcomes must be this many times more likely with a fault than without,
// which a sound version's are with a probability of less than the inverse.
const double observing_evidence = std::log(200.0);
// A bad version that is completed harms more than a good one that is taken back, so less evidence is enough
// before a version gets all traffic and before it is completed.
const double final_evidence = std::log(2.0);

// The log states the highest rate of failures that the outcomes do not exclude with this probability of
// error.
constexpr double stated_error_rate = 0.05;

std::string_view to_string(judgement_look look) noexcept
{
    switch (look) {
    case judgement_look::observing:
        return "observing";
    case judgement_look::before_shift:
        return "before_shift";
    case judgement_look::final:
        break;
    }
    return "final";
}

void log_write(const rollout_order& order, rollout_state state,
               const core::result<platform::put_outcome>& outcome)
{
    if (outcome && outcome->applied) {
        core::log_event(core::log_level::info, "rollout_state_stored",
                        {{"service", order.service},
                         {"target", order.target},
                         {"state", to_string(state)},
                         {"revision", static_cast<long long>(order.revision)}});
        return;
    }
    const std::string reason = !outcome           ? outcome.error().message
                               : outcome->current ? "the order has changed"
                                                  : "the order is gone";
    core::log_event(core::log_level::warning, "rollout_state_not_stored",
                    {{"service", order.service},
                     {"target", order.target},
                     {"state", to_string(state)},
                     {"revision", static_cast<long long>(order.revision)},
                     {"reason", reason}});
}

} // namespace

rollout_controller::rollout_controller(rollout_controller_options options_to_use)
    : options(std::move(options_to_use))
{
}

void rollout_controller::tick()
{
    const core::steady_time now = this->options.time.steady();
    this->follow_orders(now);
    this->store_lost_states(now);
    for (auto& [service, rollout] : this->rollouts) {
        const std::vector<member> judges = this->judges_of(rollout);
        const auto self = std::find_if(judges.begin(), judges.end(), [this](const member& candidate) {
            return candidate.id == this->options.node;
        });
        const bool is_judge = self != judges.end() || judges.empty();
        if (is_judge || now >= rollout.judged_at + judge_patience) {
            this->judge(rollout, now);
        }
        this->send_reports(rollout, judges, now);
        if (is_judge) {
            this->write_state(rollout, static_cast<std::size_t>(self - judges.begin()), now);
        }
    }
}

void rollout_controller::follow_orders(core::steady_time now)
{
    std::shared_ptr<const rollout_table> next = this->options.orders();
    if (next == nullptr || next == this->followed) {
        return;
    }
    this->followed = std::move(next);
    std::erase_if(this->rollouts, [this](const auto& entry) {
        const auto known = this->followed->find(entry.first);
        return known == this->followed->end() || is_final(known->second.order.state) ||
               known->second.order.target != entry.second.known.order.target ||
               known->second.first_seen != entry.second.known.first_seen;
    });
    for (const auto& [service, known] : *this->followed) {
        if (is_final(known.order.state)) {
            continue;
        }
        active_rollout& rollout = this->rollouts[service];
        if (rollout.known.order.target.empty()) {
            rollout.schedule = make_schedule(known.order.duration);
            rollout.began = this->begin_of(known, now);
            rollout.is_estimated = known.is_found_at_start;
            rollout.judged_at = now;
            rollout.counted_from = now;
            // Nodes that owe a part of a request to begin with do not all send their first one at the same
            // time.
            rollout.credit = static_cast<double>(core::hash64(this->options.process + service)) /
                             static_cast<double>(std::numeric_limits<std::uint64_t>::max());
        }
        rollout.known = known;
    }
}

core::steady_time rollout_controller::begin_of(const known_rollout& known, core::steady_time now) const
{
    if (!known.is_found_at_start) {
        return known.first_seen;
    }
    // The upstreams of the target version are started for the order.
    std::int64_t earliest = std::numeric_limits<std::int64_t>::max();
    const std::shared_ptr<const upstream_table> table = this->options.upstreams();
    if (table != nullptr && table->by_service.contains(known.order.service)) {
        for (const auto& entry : table->by_service.at(known.order.service)) {
            if (entry->version == known.order.target && entry->started_at_ms > 0) {
                earliest = std::min(earliest, entry->started_at_ms);
            }
        }
    }
    if (earliest == std::numeric_limits<std::int64_t>::max()) {
        return known.first_seen;
    }
    const std::int64_t wall = core::to_unix_ms(this->options.time.now());
    const milliseconds age = std::max(milliseconds(wall - earliest), milliseconds(0));
    const milliseconds longest =
        std::max(make_schedule(known.order.duration).ramp_at - least_observation, milliseconds(0));
    return now - std::min(age, longest);
}

milliseconds rollout_controller::age_of(const active_rollout& rollout, core::steady_time now) const
{
    return duration_cast<milliseconds>(now - rollout.began);
}

milliseconds rollout_controller::known_age(const active_rollout& rollout, core::steady_time now) const
{
    return rollout.is_estimated ? milliseconds(0) : this->age_of(rollout, now);
}

void rollout_controller::learn_age(active_rollout& rollout, milliseconds age, core::steady_time now)
{
    if (age.count() == 0) {
        return; // The sender only has an estimate.
    }
    rollout.began = rollout.is_estimated ? now - age : std::min(rollout.began, now - age);
    rollout.is_estimated = false;
}

double rollout_controller::share_of(const active_rollout& rollout, core::steady_time now) const
{
    if (rollout.is_bad || rollout.is_suspected) {
        return 0;
    }
    const bool is_judged = now < rollout.judged_at + judge_patience;
    const milliseconds age = is_judged ? this->age_of(rollout, now) : milliseconds(0);
    const double seconds = std::max(1.0, std::chrono::duration<double>(now - rollout.counted_from).count());
    const double canary = canary_share(
        rollout.schedule,
        {.exposure_share = this->options.limits.exposure_share,
         .exposure_slack = this->options.limits.exposure_slack / static_cast<double>(this->node_count())},
        static_cast<double>(rollout.first_attempts) / seconds);
    return share_at(rollout.schedule, canary, age);
}

std::size_t rollout_controller::node_count() const
{
    const std::shared_ptr<const member_list> known = this->options.members();
    return known == nullptr ? 1 : std::max<std::size_t>(known->members.size(), 1);
}

std::vector<member> rollout_controller::judges_of(const active_rollout& rollout) const
{
    const std::shared_ptr<const member_list> known = this->options.members();
    if (known == nullptr) {
        return {};
    }
    const core::steady_time now = this->options.time.steady();
    std::vector<member> ranked = rank_by_capacity(known->members, "rollout/" + rollout.known.order.service);
    std::erase_if(ranked, [&](const member& candidate) {
        const auto silent = rollout.silent_until.find(candidate.id);
        return silent != rollout.silent_until.end() && now < silent->second;
    });
    ranked.resize(std::min(ranked.size(), judge_count));
    return ranked;
}

version_evidence rollout_controller::join_evidence(const active_rollout& rollout) const
{
    version_evidence joint = rollout.own;
    for (const auto& [process, received] : rollout.reports) {
        joint.merge(received.report.evidence);
    }
    return joint;
}

void rollout_controller::judge(active_rollout& rollout, core::steady_time now)
{
    if (rollout.is_bad || now < rollout.next_look) {
        return;
    }
    rollout.next_look = now + look_interval;
    // The last look before the version gets all traffic.
    const bool is_before_shift =
        !rollout.is_shift_judged && this->age_of(rollout, now) + look_interval >= rollout.schedule.shift_at;
    rollout.is_shift_judged = rollout.is_shift_judged || is_before_shift;
    this->look_for_fault(rollout, is_before_shift ? judgement_look::before_shift : judgement_look::observing,
                         now);
    if (rollout.history.empty() || now >= rollout.history.back().taken_at + snapshot_interval) {
        rollout.history.push_back({.taken_at = now, .evidence = this->join_evidence(rollout)});
        while (rollout.history.size() > 1 && now - rollout.history[1].taken_at >= recent_periods.back()) {
            rollout.history.pop_front();
        }
    }
}

version_assessment rollout_controller::assess(const active_rollout& rollout, const version_evidence& joint,
                                              core::steady_time now)
{
    std::vector<version_evidence> recent;
    for (const milliseconds period : recent_periods) {
        const auto begin =
            std::find_if(rollout.history.rbegin(), rollout.history.rend(),
                         [&](const snapshot& taken) { return now - taken.taken_at >= period; });
        if (begin != rollout.history.rend()) {
            recent.push_back(joint.since(begin->evidence));
        }
    }
    return assess_version(joint, recent);
}

void rollout_controller::look_for_fault(active_rollout& rollout, judgement_look look, core::steady_time now)
{
    const version_evidence joint = this->join_evidence(rollout);
    const version_assessment assessment = assess(rollout, joint, now);
    const bool has_fault =
        assessment.log_evidence >= (look == judgement_look::observing ? observing_evidence : final_evidence);
    const bool is_alone = now >= rollout.judged_at + judge_patience && rollout.reports.empty();
    if (is_alone) {
        rollout.is_suspected = has_fault;
        return;
    }
    rollout.is_suspected = false;
    rollout.is_bad = has_fault;
    if (has_fault || look != judgement_look::observing) {
        log_judgement(rollout, joint, assessment, look, this->age_of(rollout, now));
    }
}

void rollout_controller::log_judgement(const active_rollout& rollout, const version_evidence& joint,
                                       const version_assessment& assessment, judgement_look look,
                                       milliseconds age)
{
    const version_outcomes seen = count_outcomes(joint);
    core::log_event(rollout.is_bad ? core::log_level::warning : core::log_level::info, "rollout_judged",
                    {{"service", rollout.known.order.service},
                     {"target", rollout.known.order.target},
                     {"verdict", rollout.is_bad ? "bad" : "good"},
                     {"evidence_percent", std::llround(100 * assessment.log_evidence)},
                     {"likeliest_fault", to_string(assessment.likeliest)},
                     {"look", to_string(look)},
                     {"routes", describe_routes(joint)},
                     {"target_requests", static_cast<long long>(seen.target.total)},
                     {"target_upstreams", static_cast<long long>(seen.target_upstreams)},
                     {"possible_failures_permille",
                      std::llround(1000 * moves::upper_limit(seen.target, stated_error_rate))},
                     {"processes", static_cast<long long>(rollout.reports.size() + 1)},
                     {"age_ms", static_cast<long long>(age.count())}});
}

void rollout_controller::send_reports(active_rollout& rollout, const std::vector<member>& judges,
                                      core::steady_time now)
{
    const bool is_only_judge = judges.size() == 1 && judges.front().id == this->options.node;
    if (is_only_judge || judges.empty()) {
        rollout.judged_at = now;
    }
    if (now < rollout.next_report) {
        return;
    }
    rollout.next_report =
        now + std::clamp(report_interval_per_node * static_cast<std::int64_t>(this->node_count()),
                         shortest_report_interval, longest_report_interval);
    const rollout_report report{.process = this->options.process,
                                .service = rollout.known.order.service,
                                .target = rollout.known.order.target,
                                .age = this->known_age(rollout, now),
                                .is_bad = rollout.is_bad,
                                .stable_in_flight = this->stable_in_flight(rollout),
                                .evidence = rollout.own};
    for (const member& judge : judges) {
        if (judge.id != this->options.node) {
            this->options.send(judge, report, now + answer_timeout,
                               [this, service = report.service, target = report.target,
                                id = judge.id](const core::result<rollout_answer>& answer) {
                                   this->on_answer(service, target, id, answer);
                               });
        }
    }
}

void rollout_controller::on_answer(const std::string& service, const std::string& target,
                                   const std::string& judge_id, const core::result<rollout_answer>& answer)
{
    const auto found = this->rollouts.find(service);
    if (found == this->rollouts.end() || found->second.known.order.target != target) {
        return;
    }
    active_rollout& rollout = found->second;
    const core::steady_time now = this->options.time.steady();
    if (!answer) {
        rollout.silent_until[judge_id] = now + silence_pause;
        core::log_event(core::log_level::info, "rollout_judge_silent",
                        {{"service", service}, {"judge", judge_id}, {"reason", answer.error().message}});
        return;
    }
    rollout.judged_at = now;
    rollout.is_suspected = false;
    learn_age(rollout, answer->age, now);
    if (answer->is_bad && !rollout.is_bad) {
        rollout.is_bad = true;
        core::log_event(core::log_level::warning, "rollout_stopped",
                        {{"service", service}, {"target", target}, {"judge", judge_id}});
    }
}

core::result<rollout_answer> rollout_controller::receive(const rollout_report& report)
{
    const core::steady_time now = this->options.time.steady();
    this->follow_orders(now);
    const auto found = this->rollouts.find(report.service);
    if (found == this->rollouts.end() || found->second.known.order.target != report.target) {
        return core::failure(core::error_code::not_found, "no such roll-out is known here");
    }
    active_rollout& rollout = found->second;
    if (rollout.reports.size() < maximum_processes || rollout.reports.contains(report.process)) {
        rollout.reports[report.process] = {.report = report, .received_at = now};
    }
    learn_age(rollout, report.age, now);
    rollout.is_bad = rollout.is_bad || report.is_bad;
    return rollout_answer{.age = this->known_age(rollout, now), .is_bad = rollout.is_bad};
}

std::int64_t rollout_controller::stable_in_flight(const active_rollout& rollout) const
{
    std::int64_t total = 0;
    const std::shared_ptr<const upstream_table> table = this->options.upstreams();
    if (table != nullptr && table->by_service.contains(rollout.known.order.service)) {
        for (const auto& entry : table->by_service.at(rollout.known.order.service)) {
            total += entry->version == rollout.known.order.target ? 0 : this->options.in_flight(entry->id);
        }
    }
    return total;
}

bool rollout_controller::has_target_upstream(const active_rollout& rollout) const
{
    const std::shared_ptr<const upstream_table> table = this->options.upstreams();
    if (table == nullptr || !table->by_service.contains(rollout.known.order.service)) {
        return false;
    }
    const auto& upstreams = table->by_service.at(rollout.known.order.service);
    return std::any_of(upstreams.begin(), upstreams.end(), [&rollout](const auto& entry) {
        return entry->version == rollout.known.order.target && !entry->is_draining;
    });
}

bool rollout_controller::may_complete(const active_rollout& rollout, core::steady_time now) const
{
    const milliseconds age = this->age_of(rollout, now);
    if (age < rollout.schedule.complete_at || !this->has_target_upstream(rollout)) {
        return false;
    }
    if (age >= rollout.schedule.complete_by) {
        return true;
    }
    // The upstreams of the other versions end at once when the roll-out is completed.
    std::int64_t in_flight = this->stable_in_flight(rollout);
    std::size_t reporting = 1;
    for (const auto& [process, received] : rollout.reports) {
        if (now < received.received_at + report_age_limit) {
            in_flight += received.report.stable_in_flight;
            ++reporting;
        }
    }
    return in_flight == 0 && 2 * reporting > this->node_count();
}

void rollout_controller::store_lost_states(core::steady_time now)
{
    if (this->followed == nullptr) {
        return;
    }
    std::erase_if(this->lost_states, [this](const auto& entry) {
        const auto known = this->followed->find(entry.first);
        return known == this->followed->end() || !known->second.has_lost_state;
    });
    for (const auto& [service, known] : *this->followed) {
        if (!known.has_lost_state) {
            continue;
        }
        const milliseconds delay(core::hash64(this->options.process + service) %
                                 longest_lost_state_delay.count());
        core::steady_time& next = this->lost_states.try_emplace(service, now + delay).first->second;
        if (now < next) {
            continue;
        }
        next = now + longest_lost_state_delay;
        this->options.write(known.order, known.order.state,
                            [order = known.order](const core::result<platform::put_outcome>& outcome) {
                                log_write(order, order.state, outcome);
                            });
    }
}

void rollout_controller::write_state(active_rollout& rollout, std::size_t rank, core::steady_time now)
{
    const milliseconds delay = rank_delay * static_cast<std::int64_t>(rank);
    if (rollout.is_writing || now < rollout.next_write) {
        return;
    }
    std::optional<rollout_state> next;
    if (!rollout.is_bad && this->may_complete(rollout, now - delay)) {
        this->look_for_fault(rollout, judgement_look::final, now);
        next = rollout_state::completed;
    }
    if (rollout.is_bad) {
        next = rollout_state::rolled_back;
    }
    else if (!next && rollout.known.order.state == rollout_state::pending &&
             this->age_of(rollout, now) >= delay * 2) {
        next = rollout_state::running;
    }
    if (!next) {
        return;
    }
    rollout.is_writing = true;
    rollout.next_write = now + write_retry_interval;
    const rollout_order& order = rollout.known.order;
    this->options.write(order, *next,
                        [this, order, state = *next](const core::result<platform::put_outcome>& outcome) {
                            log_write(order, state, outcome);
                            const auto found = this->rollouts.find(order.service);
                            if (found != this->rollouts.end()) {
                                found->second.is_writing = false;
                            }
                        });
}

bool rollout_controller::is_informed() const
{
    return this->options.orders() != nullptr;
}

std::optional<version_choice> rollout_controller::choose(const std::string& service, bool is_first_attempt)
{
    const core::steady_time now = this->options.time.steady();
    this->follow_orders(now);
    if (this->followed == nullptr) {
        return std::nullopt;
    }
    const auto known = this->followed->find(service);
    if (known == this->followed->end()) {
        return std::nullopt;
    }
    version_choice choice{.target = known->second.order.target};
    const auto active = this->rollouts.find(service);
    if (active == this->rollouts.end()) {
        choice.is_target = known->second.order.state == rollout_state::completed;
        choice.is_withdrawn = !choice.is_target;
        return choice;
    }
    active_rollout& rollout = active->second;
    choice.target_share = this->share_of(rollout, now);
    choice.is_withdrawn = choice.target_share <= 0;
    if (is_first_attempt) {
        ++rollout.first_attempts;
        rollout.credit += choice.target_share;
        choice.is_target = rollout.credit >= 1;
        rollout.credit -= choice.is_target ? 1 : 0;
        request_counts& counted = this->requests[service];
        ++(choice.is_target ? counted.target : counted.stable);
    }
    return choice;
}

void rollout_controller::observe(const upstream& target, const std::string& route,
                                 const moves::sample& observed)
{
    const auto found = this->rollouts.find(target.service);
    if (found != this->rollouts.end()) {
        active_rollout& rollout = found->second;
        rollout.own.add(route, target.id, target.version == rollout.known.order.target, observed);
    }
}

} // namespace samphireway::gateway
