#include "gateway/quarantine/quarantine_book.h"

#include <algorithm>
#include <optional>

namespace samphireway::gateway {

namespace {

using std::chrono::milliseconds;

constexpr std::chrono::minutes quarantine_time{10};
constexpr milliseconds write_interval{200};
constexpr milliseconds write_retry_interval{500};
// Answers to other prompts after which a suspected part is missed among them. A part that every fourth prompt
// has is in one of them with a probability of 997 in 1,000.
constexpr std::uint64_t answers_to_miss_a_part = 20;

} // namespace

quarantine_book::quarantine_book(quarantine_book_options options_to_use) : options(std::move(options_to_use))
{
}

void quarantine_book::apply(const followed_batch& received)
{
    std::map<std::string, crash_report> others;
    // Each node stores its report again after a restore of the object API, so what is known is newer until
    // then.
    const bool keeps_known = received.is_after_restore;
    if (!received.is_full_list || keeps_known) {
        others = this->reports;
        others.erase(this->options.node);
    }
    bool has_own = !received.is_full_list || keeps_known;
    if (keeps_known) {
        this->stored_version = 0;
        this->has_changed = this->reports.contains(this->options.node);
    }
    for (const platform::object& object : received.batch.changed) {
        const std::string node = platform::object_name(object.key);
        core::result<crash_report> report = crash_report_from_json(object.value);
        if (node == this->options.node) {
            has_own = !object.value.isNull();
            const bool is_of_earlier_process =
                has_own && this->stored_version == 0 && !this->is_writing && !keeps_known && report;
            if (is_of_earlier_process) {
                crash_report& own = this->reports[node];
                own.crashes.insert(own.crashes.begin(), report->crashes.begin(), report->crashes.end());
                own.answered.merge(report->answered);
                own.acquitted.merge(report->acquitted);
                own.unanswered.merge(report->unanswered);
            }
            this->stored_version = has_own ? std::max(this->stored_version, object.version) : 0;
            if (!has_own) {
                this->reports.erase(node); // Removed by an operator.
                this->has_changed = false;
            }
            continue;
        }
        if (!report) {
            others.erase(node);
            continue;
        }
        if (!keeps_known || !others.contains(node)) {
            others[node] = std::move(*report);
        }
    }
    if (!has_own && this->stored_version != 0) {
        this->reports.erase(this->options.node);
        this->stored_version = 0;
        this->has_changed = false;
    }
    if (const auto own = this->reports.extract(this->options.node)) {
        others[this->options.node] = own.mapped();
    }
    this->reports = std::move(others);
    this->learn_crashes();
    if (received.is_full_list) {
        this->judge();
    }
}

void quarantine_book::record_crash(const std::string& crash_id, const prompt_parts& prompt)
{
    core::log_event(core::log_level::warning, "upstream_crashed",
                    {{"crash", crash_id}, {"parts", static_cast<long long>(prompt.size())}});
    crash_report& own = this->reports[this->options.node];
    own.add(crash_id, prompt, this->options.time.now());
    // The accusation comes with what speaks against it, so that no node judges by half of it.
    for (const std::string& part : prompt) {
        if (this->options.answered.last_answer(part)) {
            own.answered.insert(part);
        }
    }
    this->has_changed = true;
    this->learn_crashes();
    this->store();
}

void quarantine_book::tick()
{
    if (this->reports.empty() && this->is_judged) {
        return;
    }
    const core::wall_time oldest = this->options.time.now() - quarantine_time;
    bool has_expired = false;
    for (auto& [node, report] : this->reports) {
        const bool is_shorter = report.expire(oldest);
        has_expired = has_expired || is_shorter;
        this->has_changed = this->has_changed || (is_shorter && node == this->options.node);
    }
    if (has_expired) {
        this->forget_parts();
    }
    if (has_expired || !this->is_judged) {
        this->judge();
    }
    if (this->testify()) {
        this->has_changed = true;
        this->judge();
    }
    this->store();
}

void quarantine_book::learn_crashes()
{
    std::map<std::string, std::uint64_t> known;
    const std::uint64_t answers = this->options.answered.count();
    for (const auto& [node, report] : this->reports) {
        for (const upstream_crash& crash : report.crashes) {
            const auto found = this->learnt_at.find(crash.id);
            known[crash.id] = found == this->learnt_at.end() ? answers : found->second;
        }
    }
    this->learnt_at = std::move(known);
    this->is_judged = false;
}

bool quarantine_book::testify()
{
    bool has_new = false;
    for (const auto& [part, crashes] : this->verdicts.suspected) {
        const bool is_new = this->testify(part, crashes);
        has_new = has_new || is_new;
    }
    return has_new;
}

bool quarantine_book::testify(const std::string& part, const std::set<std::string>& crashes)
{
    const std::optional<std::uint64_t> last = this->options.answered.last_answer(part);
    const std::uint64_t answers_without = this->options.answered.count() - last.value_or(0);
    const auto own = this->reports.find(this->options.node);
    const bool is_accuser = own != this->reports.end() && own->second.accuses(part);
    const bool is_missed = is_accuser && answers_without >= answers_to_miss_a_part;
    if (!last && !is_accuser) {
        return false;
    }
    crash_report& report = this->reports[this->options.node];
    bool has_new = is_missed && report.unanswered.insert(part).second;
    if (!last) {
        return has_new;
    }
    has_new = has_new || (!is_missed && report.unanswered.erase(part) > 0);
    has_new = report.answered.insert(part).second || has_new;
    for (const std::string& crash : crashes) {
        const auto learnt = this->learnt_at.find(crash);
        if (learnt != this->learnt_at.end() && *last > learnt->second) {
            has_new = report.acquitted[part].insert(crash).second || has_new;
        }
    }
    return has_new;
}

void quarantine_book::forget_parts()
{
    const auto own = this->reports.find(this->options.node);
    if (own == this->reports.end()) {
        return;
    }
    const auto is_forgotten = [this](const std::string& part) {
        return std::none_of(this->reports.begin(), this->reports.end(),
                            [&part](const auto& entry) { return entry.second.accuses(part); });
    };
    crash_report& report = own->second;
    std::erase_if(report.answered, is_forgotten);
    std::erase_if(report.unanswered, is_forgotten);
    std::erase_if(report.acquitted, [&](const auto& entry) { return is_forgotten(entry.first); });
}

void quarantine_book::judge()
{
    this->is_judged = true;
    part_verdicts next = judge_parts(this->reports);
    if (next == this->verdicts) {
        return;
    }
    for (const auto& [part, crashes] : next.quarantined) {
        if (!this->verdicts.quarantined.contains(part)) {
            core::log_event(core::log_level::warning, "part_quarantined",
                            {{"part", part}, {"crashes", crashes}});
        }
    }
    for (const auto& [part, crashes] : this->verdicts.quarantined) {
        if (!next.quarantined.contains(part)) {
            core::log_event(core::log_level::info, "part_released", {{"part", part}});
        }
    }
    const bool is_published = next.quarantined == this->verdicts.quarantined;
    this->verdicts = std::move(next);
    if (!is_published) {
        this->options.publish(std::make_shared<const part_verdicts>(this->verdicts));
    }
}

void quarantine_book::store()
{
    const core::steady_time now = this->options.time.steady();
    if (!this->has_changed || this->is_writing || now < this->next_write) {
        return;
    }
    this->is_writing = true;
    this->has_changed = false;
    this->next_write = now + write_interval;
    this->options.write(to_json(this->reports[this->options.node]), this->stored_version,
                        [this](const core::result<platform::put_outcome>& outcome) {
                            this->is_writing = false;
                            if (outcome && outcome->applied) {
                                this->stored_version = std::max(this->stored_version, outcome->version);
                                return;
                            }
                            this->has_changed = true;
                            this->next_write = this->options.time.steady() + write_retry_interval;
                            const bool is_conflict = outcome.has_value();
                            if (is_conflict) {
                                // A write whose answer was lost, or an earlier process; its version is
                                // needed.
                                this->stored_version = outcome->current ? outcome->current->version : 0;
                            }
                            core::log_event(core::log_level::warning, "crash_report_not_stored",
                                            {{"reason", is_conflict ? "conflict" : outcome.error().message}});
                        });
}

} // namespace samphireway::gateway
