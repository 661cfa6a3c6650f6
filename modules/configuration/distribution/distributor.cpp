#include "configuration/distribution/distributor.h"

#include <algorithm>

namespace samphireway::configuration {

namespace {

// Longer than the time that a watch waits for changes: an idle watch must not count as a platform
// failure.
constexpr std::chrono::seconds platform_health_period{5};

} // namespace

distributor::distributor(repository& target_to_use, distributor_options options_to_use)
    : target(target_to_use), options(std::move(options_to_use))
{
}

void distributor::observe_batch(const platform::watch_batch& batch, core::steady_time now)
{
    this->observe_platform(true, now);
    for (const platform::object& changed : batch.changed) {
        if (changed.value.isNull()) {
            const std::lock_guard lock(this->mutex);
            this->removed_keys.insert(changed.key);
            core::log_event(core::log_level::error, "configuration_removed",
                            {{"node", this->options.self}, {"key", changed.key}});
            continue;
        }
        this->receive(changed.key, changed.value, "", now);
    }
    const std::lock_guard lock(this->mutex);
    this->seen_revision = std::max(this->seen_revision, batch.revision);
}

void distributor::observe_platform(bool has_answered, core::steady_time now)
{
    const std::lock_guard lock(this->mutex);
    if (has_answered) {
        this->last_platform_answer = now;
        this->platform_failing_since.reset();
    }
    else if (!this->platform_failing_since) {
        this->platform_failing_since = now;
    }
}

void distributor::mark_listing_complete()
{
    const std::lock_guard lock(this->mutex);
    this->is_listed = true;
}

acceptance distributor::receive(const std::string& key, const Json::Value& value, const std::string& peer,
                                core::steady_time now)
{
    const acceptance outcome = this->target.offer(key, value);
    const auto offered = static_cast<generation>(core::integer_member(value, "generation"));
    if (outcome == acceptance::accepted) {
        core::log_event(core::log_level::info, "configuration_accepted",
                        {{"node", this->options.self},
                         {"key", key},
                         {"generation", static_cast<long long>(offered)},
                         {"source", peer.empty() ? "platform" : peer}});
    }
    if (outcome == acceptance::invalid) {
        core::log_event(core::log_level::error, "configuration_invalid",
                        {{"node", this->options.self}, {"key", key}});
    }
    const generation in_force = this->target.current()->generation_of(key);
    const std::lock_guard lock(this->mutex);
    const auto found = this->pending.find(key);
    if (found != this->pending.end()) {
        // An invalid generation is not read again; a later generation of the object is.
        const bool is_settled =
            in_force >= found->second.minimum_generation ||
            (outcome == acceptance::invalid && offered >= found->second.minimum_generation);
        if (is_settled) {
            this->pending.erase(found);
        }
    }
    if (outcome == acceptance::accepted) {
        this->removed_keys.erase(key);
        this->last_change = now;
        this->recent_changes.push_front({.key = key, .in_force = offered, .accepted_at = now});
        this->has_change_from_peer = this->has_change_from_peer || !peer.empty();
    }
    return outcome;
}

Json::Value distributor::describe_recent_changes(core::steady_time now)
{
    const std::lock_guard lock(this->mutex);
    while (!this->recent_changes.empty() &&
           now - this->recent_changes.back().accepted_at >= this->options.announcement_period) {
        this->recent_changes.pop_back();
    }
    Json::Value json(Json::arrayValue);
    for (const recent_change& change : this->recent_changes) {
        if (json.size() == this->options.maximum_announced_changes) {
            break;
        }
        Json::Value& entry = json.append(Json::Value(Json::arrayValue));
        entry.append(change.key);
        entry.append(static_cast<Json::UInt64>(change.in_force));
    }
    return json;
}

void distributor::observe_recent_changes(const std::string& peer, const Json::Value& changes,
                                         core::steady_time now)
{
    if (!changes.isArray()) {
        return;
    }
    for (const Json::Value& entry : changes) {
        if (entry.isArray() && entry.size() == 2 && entry[0].isString() && entry[1].isUInt64()) {
            this->schedule_read(entry[0].asString(), entry[1].asUInt64(), peer, now);
        }
    }
}

void distributor::schedule_read(const std::string& key, generation offered, const std::string& peer,
                                core::steady_time now)
{
    if (!key.starts_with(configuration_prefix) || offered <= this->target.current()->generation_of(key)) {
        return;
    }
    const std::map<std::string, rejection> rejected = this->target.rejections();
    const auto rejected_entry = rejected.find(key);
    if (rejected_entry != rejected.end() && rejected_entry->second.offered >= offered) {
        return;
    }
    const std::lock_guard lock(this->mutex);
    const auto [entry, is_new] = this->pending.try_emplace(key);
    pending_object& object = entry->second;
    if (is_new) {
        object.next_read = this->has_answered_recently(now) ? now + this->options.watch_allowance : now;
    }
    if (offered > object.minimum_generation) {
        object.minimum_generation = offered;
        object.peers.clear();
        object.is_platform_next = true;
    }
    if (offered == object.minimum_generation) {
        object.peers.insert(peer);
    }
}

bool distributor::observe_digest(const std::string& peer, std::uint64_t digest, core::steady_time now)
{
    const std::uint64_t own = this->target.current()->digest;
    const std::lock_guard lock(this->mutex);
    if (digest == own) {
        this->compared_peers.insert(peer);
        return false;
    }
    const bool is_changing = this->last_change && now - *this->last_change < this->options.quiet_period;
    const bool was_compared =
        this->last_comparison && now - *this->last_comparison < this->options.quiet_period;
    const bool is_starting = !this->is_listed;
    if ((is_changing || was_compared) && !is_starting) {
        return false;
    }
    this->last_comparison = now;
    return true;
}

Json::Value distributor::describe_parts() const
{
    Json::Value json(Json::arrayValue);
    for (const std::uint64_t part : split_digest(*this->target.current())) {
        json.append(core::to_hex(part));
    }
    return json;
}

Json::Value distributor::find_different_parts(const Json::Value& description) const
{
    Json::Value different(Json::arrayValue);
    const std::vector<std::uint64_t> own = split_digest(*this->target.current());
    for (Json::ArrayIndex part = 0; part < own.size() && description.isArray(); ++part) {
        const std::string other = description[part].isString() ? description[part].asString() : "";
        if (other != core::to_hex(own[part])) {
            different.append(part);
        }
    }
    return different;
}

Json::Value distributor::describe_generations(const Json::Value& parts) const
{
    std::set<std::size_t> asked;
    for (const Json::Value& part : parts) {
        if (part.isUInt()) {
            asked.insert(part.asUInt());
        }
    }
    Json::Value json(Json::objectValue);
    for (const auto& [key, in_force] : this->target.current()->generations) {
        if (asked.contains(digest_part_index(key))) {
            json[key] = static_cast<Json::UInt64>(in_force);
        }
    }
    return json;
}

void distributor::observe_generations(const std::string& peer, const Json::Value& generations,
                                      core::steady_time now)
{
    if (!generations.isObject()) {
        return;
    }
    for (auto entry = generations.begin(); entry != generations.end(); ++entry) {
        if (entry->isUInt64()) {
            this->schedule_read(entry.name(), entry->asUInt64(), peer, now);
        }
    }
    const std::lock_guard lock(this->mutex);
    this->compared_peers.insert(peer);
}

std::vector<due_read> distributor::take_due_reads(core::steady_time now)
{
    const std::lock_guard lock(this->mutex);
    std::vector<due_read> reads;
    const bool is_platform_usable = this->has_answered_recently(now);
    for (auto& [key, object] : this->pending) {
        if (object.next_read > now) {
            continue;
        }
        object.next_read = now + this->options.retry_interval;
        // Reads alternate between the platform and the peers, starting with the platform: it may lag
        // and answer with an older generation.
        if ((is_platform_usable && object.is_platform_next) || object.peers.empty()) {
            object.is_platform_next = false;
            reads.push_back({.key = key, .peer = ""});
            continue;
        }
        object.is_platform_next = true;
        const auto step = static_cast<std::ptrdiff_t>(object.peer_reads % object.peers.size());
        ++object.peer_reads;
        reads.push_back({.key = key, .peer = *std::next(object.peers.begin(), step)});
    }
    return reads;
}

bool distributor::has_read_everything_of(const std::string& peer) const
{
    return std::none_of(this->pending.begin(), this->pending.end(),
                        [&peer](const auto& entry) { return entry.second.peers.contains(peer); });
}

bool distributor::is_ready() const
{
    const std::lock_guard lock(this->mutex);
    if (this->is_listed) {
        return true;
    }
    const auto complete =
        std::count_if(this->compared_peers.begin(), this->compared_peers.end(),
                      [this](const std::string& peer) { return this->has_read_everything_of(peer); });
    return this->options.catch_up_peers > 0 && this->pending.empty() &&
           static_cast<std::size_t>(complete) >= this->options.catch_up_peers;
}

bool distributor::has_answered_recently(core::steady_time now) const
{
    return this->last_platform_answer && !this->platform_failing_since &&
           now - *this->last_platform_answer < platform_health_period;
}

bool distributor::is_platform_healthy(core::steady_time now) const
{
    const std::lock_guard lock(this->mutex);
    return this->has_answered_recently(now);
}

bool distributor::take_change_from_peer()
{
    const std::lock_guard lock(this->mutex);
    return std::exchange(this->has_change_from_peer, false);
}

Json::Value distributor::lag_report(core::steady_time now) const
{
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    Json::Value json(Json::objectValue);
    const std::map<std::string, rejection> rejected = this->target.rejections();
    const std::lock_guard lock(this->mutex);
    json["platform"] = this->has_answered_recently(now) ? "answers" : "does not answer";
    if (this->last_platform_answer) {
        json["platform_answered_ms_ago"] =
            static_cast<Json::Int64>(duration_cast<milliseconds>(now - *this->last_platform_answer).count());
    }
    for (const auto& [key, object] : this->pending) {
        json["newer_elsewhere"][key] = static_cast<Json::UInt64>(object.minimum_generation);
    }
    for (const auto& [key, entry] : rejected) {
        json["rejected"][key]["generation"] = static_cast<Json::UInt64>(entry.offered);
        json["rejected"][key]["reason"] = entry.reason;
    }
    for (const std::string& key : this->removed_keys) {
        json["removed_from_platform"].append(key);
    }
    return json;
}

platform::object_version distributor::revision() const
{
    const std::lock_guard lock(this->mutex);
    return this->seen_revision;
}

} // namespace samphireway::configuration
