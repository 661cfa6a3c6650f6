#include "moves/control/move_controller.h"

#include <algorithm>

namespace samphireway::moves {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds evidence_interval{500};
/// Notices may be lost, so they are repeated with exponential backoff, which limits their number
/// during a long platform outage.
constexpr milliseconds first_notice_delay{400};
constexpr milliseconds last_notice_delay{30000};
constexpr milliseconds write_retry_delay{500};
constexpr milliseconds read_interval{2000};
constexpr milliseconds idle_read_interval{30000};

/// A driver renews its lease after a third of this time. The lease is short so that another node soon
/// takes over from a dead driver; until then only the ramp is delayed.
constexpr seconds driver_lease{15};

/// Nodes claim a move without a driver at different times within this span, so that the nodes of a large
/// fleet do not all write at once.
constexpr milliseconds claim_spread{8000};

/// Bounds an evidence message to about 2 KB, which is 4 KB/s for each move and node.
constexpr std::size_t routes_per_message = 8;

/// How long a version is suspended until its fault counts as confirmed. With one request every 200 ms,
/// the old version has by then the 50 outcomes that are enough to contradict the fault.
constexpr seconds confirmation_time{10};
constexpr seconds confirmation_margin{2}; ///< Time for the peer's next notice to arrive.

/// Maximum number of outcomes queued between two ticks; a load of 2,000 requests/s queues 400.
constexpr std::size_t maximum_samples = 1U << 14U;

} // namespace

Json::Value move_controller::make_notice(const tracked_move& move, core::wall_time suspended_until)
{
    Json::Value notice(Json::objectValue);
    notice["move"] = move.entry.id;
    notice["record"] = to_json(move.record);
    notice["suspended_until_unix_ms"] = static_cast<Json::Int64>(core::to_unix_ms(suspended_until));
    return notice;
}

move_controller::move_controller(move_controller_options options_to_use)
    : options(std::move(options_to_use)), reports(std::make_shared<const std::vector<move_report>>())
{
}

void move_controller::tick()
{
    const core::wall_time now = this->options.time.now();
    this->follow_configuration(now);
    this->count_samples(now);
    this->decide_all(now);
    for (auto& [id, move] : this->moves) {
        this->send_messages(move, now);
    }
    this->start_read(now);
}

void move_controller::observe(sample observed)
{
    if (!this->router.shares()->contains(observed.model)) {
        return;
    }
    const std::lock_guard lock(this->samples_mutex);
    if (this->samples.size() < maximum_samples) {
        this->samples.push_back(std::move(observed));
    }
}

std::vector<std::string> move_controller::choose_versions(const version_request& request, double random)
{
    return this->router.choose(request, random);
}

std::shared_ptr<const std::vector<move_report>> move_controller::report() const
{
    return this->reports.read();
}

void move_controller::follow_configuration(core::wall_time now)
{
    const std::shared_ptr<const configuration::snapshot> snapshot = this->options.configuration();
    const auto generation = snapshot->generations.find(configuration::moves_key);
    if (generation == snapshot->generations.end() || this->followed_generation == generation->second) {
        return;
    }
    this->followed_generation = generation->second;
    move_map next;
    for (const std::string& id : snapshot->moves.getMemberNames()) {
        const core::result<configuration::move_entry> entry =
            configuration::move_from_json(id, snapshot->moves[id]);
        if (!entry) {
            core::log_event(core::log_level::error, "move_invalid",
                            {{"move", id}, {"reason", entry.error().message}});
            continue;
        }
        const auto found = this->moves.find(id);
        tracked_move& move = next[id];
        if (found != this->moves.end()) {
            move = std::move(found->second);
        }
        else {
            move.first_seen = now;
            const auto record = this->records.find(id);
            if (record != this->records.end()) {
                this->apply_record(move, record->second);
            }
        }
        move.entry = *entry;
    }
    this->moves = std::move(next);
    this->next_read = now;
}

void move_controller::count_samples(core::wall_time now)
{
    std::vector<sample> taken;
    {
        const std::lock_guard lock(this->samples_mutex);
        taken.swap(this->samples);
    }
    for (const sample& observed : taken) {
        this->count(observed, now);
    }
}

void move_controller::count(const sample& observed, core::wall_time now)
{
    for (auto& [id, move] : this->moves) {
        const configuration::move_entry& entry = move.entry;
        const bool is_in_force =
            move.record.generation == entry.generation && move.record.has_begun() && !move.record.is_final();
        const bool is_new = observed.version == entry.to_version;
        if (is_in_force && observed.model == entry.model &&
            (is_new || observed.version == entry.from_version)) {
            move.evidence.add(observed, is_new, now);
        }
    }
}

void move_controller::apply_record(tracked_move& move, const move_record& record)
{
    move.record = merge(move.record, record);
    if (move.evidence_generation != move.record.generation) {
        move.evidence = evidence_table{};
        move.fault.reset();
        move.evidence_generation = move.record.generation;
        move.evidence_step = move.record.step;
    }
    if (move.evidence_step != move.record.step) {
        move.evidence.begin_step();
        move.evidence_step = move.record.step;
    }
    if (move.record.is_final()) {
        move.evidence.drop_single_routes();
    }
}

void move_controller::apply_stored_record(tracked_move& move, const move_record& stored)
{
    this->apply_record(move, stored);
    const bool has_end =
        stored.is_final() && stored.state == move.record.state && stored.generation == move.record.generation;
    move.is_stored = move.is_stored || has_end;
}

std::map<std::string, std::vector<recorded_move>> move_controller::moves_by_model() const
{
    std::map<std::string, std::vector<recorded_move>> models;
    for (const auto& [id, move] : this->moves) {
        models[move.entry.model].push_back(recorded_move{.entry = move.entry, .record = move.record});
    }
    return models;
}

void move_controller::update_fault(tracked_move& move, core::wall_time now)
{
    if (move.fault && move.fault->found.is_confirmed) {
        return;
    }
    const bool is_suspended = move.fault.has_value();
    std::optional<route_fault> found =
        move.evidence.find_fault(make_detection_limits(this->options.limits), !is_suspended);
    if (found && !found->found.is_confirmed && !is_suspended) {
        move.suspended_until = now + confirmation_time;
        move.next_notice = now;
        move.notice_delay = first_notice_delay;
    }
    // Without traffic to the old version nothing can contradict the finding, so it counts as confirmed
    // after the suspension: the new version must not get traffic again.
    if (found && now >= move.suspended_until) {
        found->found.is_confirmed = true;
    }
    move.fault = std::move(found);
}

decision move_controller::decide_one(tracked_move& move, const std::vector<recorded_move>& siblings,
                                     core::wall_time now, const configuration::snapshot& snapshot)
{
    const bool is_current = move.record.generation == move.entry.generation;
    if (is_current && !move.record.is_final()) {
        this->update_fault(move, now);
    }
    observations seen{.recorded = move.record,
                      .fault = is_current ? move.fault : std::nullopt,
                      .is_new_ready = is_served(snapshot, move.entry.model, move.entry.to_version),
                      .limits = this->options.limits};
    seen.blocking_reason = find_blocking_reason({.entry = move.entry, .record = move.record}, siblings);
    if (const route_evidence* all = move.evidence.find(all_routes)) {
        seen.step_requests = all->step.new_version.requests;
    }
    for (const std::string& route : move.evidence.routes_with_requests(this->options.limits.clear_requests)) {
        seen.clearable_routes.insert(route);
    }
    return decide(move.entry, seen, now);
}

void move_controller::decide_all(core::wall_time now)
{
    const std::shared_ptr<const configuration::snapshot> snapshot = this->options.configuration();
    auto next_reports = std::make_shared<std::vector<move_report>>();
    std::map<std::string, std::vector<recorded_move>> models = this->moves_by_model();
    for (auto& [id, move] : this->moves) {
        decision made = this->decide_one(move, models.at(move.entry.model), now, *snapshot);
        const bool ends = made.next.is_final() && made.next.state != move_state::done;
        if (ends && made.next != move.record) {
            core::log_event(core::log_level::warning, "move_stopped",
                            {{"move", id}, {"state", to_string(made.state)}, {"reason", made.reason}});
            this->apply_record(move, made.next);
            move.is_stored = false;
            move.is_notifier = true;
            move.next_write = now;
            move.next_notice = now;
            move.notice_delay = first_notice_delay;
        }
        move_report report{.entry = move.entry, .current = made, .record = move.record};
        if (!made.is_suspended) {
            report.current.shares = shares_from_record(move.entry, move.record);
        }
        if (const route_evidence* all = move.evidence.find(all_routes)) {
            report.new_requests = all->new_requests;
            report.old_requests = all->old_baseline.requests;
        }
        next_reports->push_back(std::move(report));
    }
    models = this->moves_by_model();
    auto shares = std::make_shared<share_table>();
    for (const auto& [model, moves_of_model] : models) {
        model_shares resolved = resolve_versions(moves_of_model, *snapshot);
        const tracked_move& move = this->moves.at(resolved.move);
        const bool is_suspended = move.fault || now < move.peer_suspended_until;
        if (is_suspended && !resolved.new_version.empty()) {
            resolved.new_version.clear();
            resolved.fallback_version.clear();
        }
        shares->emplace(model, std::move(resolved));
    }
    this->router.publish(std::move(shares));
    for (move_report& report : *next_reports) {
        tracked_move& move = this->moves.at(report.entry.id);
        if (!move.is_stored || (this->may_drive(move, now) && !move.record.is_final())) {
            this->start_write(move, report.current.next, now);
        }
    }
    this->reports.publish(std::move(next_reports));
}

bool move_controller::may_drive(const tracked_move& move, core::wall_time now) const
{
    if (move.record.driver == this->options.node) {
        return true;
    }
    return now >= std::max(move.record.driver_until, move.first_seen) + this->claim_delay(move);
}

milliseconds move_controller::claim_delay(const tracked_move& move) const
{
    return milliseconds(core::hash64(this->options.node + move.entry.id) %
                        static_cast<std::uint64_t>(claim_spread.count()));
}

void move_controller::start_write(tracked_move& move, const move_record& next, core::wall_time now)
{
    if (move.is_writing || now < move.next_write) {
        return;
    }
    move_record record = next;
    if (!record.is_final() &&
        (record.driver != this->options.node || record.driver_until < now + driver_lease * 2 / 3)) {
        record.driver = this->options.node;
        record.driver_until = now + driver_lease;
    }
    const move_record merged = merge(move.record, record);
    if (move.is_stored && merged == move.record) {
        return;
    }
    move.next_write = now + write_retry_delay;
    move.is_writing = this->options.run_blocking([this, id = move.entry.id, record] {
        const core::result<move_record> written = store_record(this->options.store, id, record);
        this->options.run_control([this, id, written] { this->complete_write(id, written); });
    });
}

void move_controller::complete_write(const std::string& id, const core::result<move_record>& written)
{
    const auto found = this->moves.find(id);
    if (found == this->moves.end()) {
        return;
    }
    tracked_move& move = found->second;
    move.is_writing = false;
    if (!written) {
        core::log_event(core::log_level::warning, "move_record_not_written",
                        {{"move", id},
                         {"code", core::to_string(written.error().code)},
                         {"reason", written.error().message}});
        return;
    }
    this->apply_stored_record(move, *written);
}

void move_controller::start_read(core::wall_time now)
{
    if (this->is_reading || now < this->next_read || this->moves.empty()) {
        return;
    }
    const bool is_idle = std::all_of(this->moves.begin(), this->moves.end(), [](const auto& move) {
        return move.second.record.is_final() && move.second.record.generation >= move.second.entry.generation;
    });
    this->next_read = now + (is_idle ? idle_read_interval : read_interval);
    this->is_reading = this->options.run_blocking([this] {
        const auto read = read_records(this->options.store);
        this->options.run_control([this, read] {
            this->is_reading = false;
            if (!read) {
                return;
            }
            this->records = *read;
            for (auto& [id, move] : this->moves) {
                const auto record = read->find(id);
                if (record != read->end()) {
                    this->apply_stored_record(move, record->second);
                }
            }
        });
    });
}

void move_controller::send_messages(tracked_move& move, core::wall_time now)
{
    const bool is_notifier = move.is_notifier || move.record.driver == this->options.node;
    const bool is_taken_back = move.record.state == move_state::taken_back && !move.is_stored && is_notifier;
    const bool is_suspended = move.fault && !move.fault->found.is_confirmed;
    if ((is_taken_back || is_suspended) && now >= move.next_notice) {
        move.next_notice = now + move.notice_delay;
        move.notice_delay = std::min(move.notice_delay * 2, last_notice_delay);
        this->options.notify_peers(make_notice(move, is_suspended ? move.suspended_until : now));
    }
    const bool has_driver = !move.record.driver.empty() && move.record.driver != this->options.node;
    if (!has_driver || move.record.is_final() || now < move.next_evidence) {
        return;
    }
    move.next_evidence = now + evidence_interval;
    evidence_delta delta{.move = move.entry.id,
                         .generation = move.record.generation,
                         .node = this->options.node,
                         .sequence = move.sequence + 1,
                         .routes = move.evidence.take_delta(routes_per_message)};
    if (!delta.routes.empty()) {
        ++move.sequence;
        this->options.send_evidence(move.record.driver, to_json(delta));
    }
}

void move_controller::receive_notice(const Json::Value& notice)
{
    const auto found = this->moves.find(notice.isObject() ? core::string_member(notice, "move") : "");
    if (found == this->moves.end()) {
        return;
    }
    tracked_move& move = found->second;
    const core::result<move_record> record = move_record_from_json(notice["record"]);
    if (!record || record->generation < move.entry.generation) {
        return;
    }
    const core::wall_time now = this->options.time.now();
    if (record->state != move_state::taken_back) {
        const core::wall_time until =
            core::from_unix_ms(core::integer_member(notice, "suspended_until_unix_ms"));
        move.peer_suspended_until = std::min(until, now + confirmation_time) + confirmation_margin;
        this->tick();
        return;
    }
    const bool is_news =
        move.record.state != move_state::taken_back || move.record.generation != record->generation;
    this->apply_record(move, *record);
    if (is_news) {
        // The sender may fail before the platform has stored the record, so each receiver writes it
        // as well, after its own delay.
        move.is_stored = false;
        move.next_write = now + this->claim_delay(move);
        move.next_notice = now + first_notice_delay;
        move.notice_delay = first_notice_delay;
        this->tick();
    }
}

void move_controller::receive_evidence(const Json::Value& evidence)
{
    const core::result<evidence_delta> delta = delta_from_json(evidence);
    if (!delta) {
        return;
    }
    const auto found = this->moves.find(delta->move);
    if (found != this->moves.end() && found->second.record.generation == delta->generation) {
        found->second.evidence.merge(*delta, this->options.time.now());
    }
}

} // namespace samphireway::moves
