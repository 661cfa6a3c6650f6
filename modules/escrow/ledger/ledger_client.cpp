#include "escrow/ledger/ledger_client.h"

#include "escrow/ledger/ledger_join.h"

namespace samphireway::escrow {

namespace {

// Each conflict means that another node's write succeeded, so a few attempts suffice for the planned
// number of nodes.
constexpr int maximum_attempts = 8;

} // namespace

ledger_client::ledger_client(std::string object_key) : key(std::move(object_key)) {}

core::result<void> ledger_client::refresh(const platform::object_store& store)
{
    ++this->call_count;
    const core::result<platform::object_reading> reading = store.get(this->key);
    if (!reading) {
        return tl::unexpected(reading.error());
    }
    const std::optional<platform::object>& found = reading->found;
    core::result<ledger> parsed = ledger_from_json(found ? found->value : Json::Value());
    if (!parsed) {
        return tl::unexpected(parsed.error());
    }
    this->receive(found ? found->version : 0, reading->generation, std::move(*parsed));
    return {};
}

void ledger_client::receive(platform::object_version read_version, std::uint64_t read_generation,
                            ledger value)
{
    const bool is_restored = this->generation != 0 && read_generation > this->generation;
    const bool is_outdated = value.generation != 0 && value.generation < read_generation;
    if (is_restored || is_outdated) {
        if (!this->known_before) {
            this->known_before.emplace();
        }
        join(*this->known_before, this->latest);
    }
    this->generation = std::max(this->generation, read_generation);
    value.generation = this->generation;
    this->set_latest(read_version, std::move(value));
}

void ledger_client::set_latest(platform::object_version read_version, ledger value)
{
    this->version = read_version;
    this->latest = std::move(value);
    this->is_latest_valid = true;
    if (this->unknown_write && *this->unknown_write != read_version) {
        this->unknown_write.reset();
    }
}

core::error ledger_client::with_unknown_write(core::error failure) const
{
    if (this->unknown_write) {
        failure.run = core::verdict::may_have_run;
    }
    return failure;
}

core::result<ledger> ledger_client::read(const platform::object_store& store)
{
    core::result<void> refreshed = this->refresh(store);
    if (!refreshed) {
        return tl::unexpected(refreshed.error());
    }
    if (this->known_before) {
        return this->update(store, [](ledger&) { return false; });
    }
    return this->latest;
}

core::result<ledger> ledger_client::update(const platform::object_store& store, const change& apply)
{
    bool is_from_this_call = false;
    for (int attempt = 0; attempt < maximum_attempts; ++attempt) {
        if (!this->is_latest_valid) {
            core::result<void> refreshed = this->refresh(store);
            if (!refreshed) {
                return tl::unexpected(this->with_unknown_write(refreshed.error()));
            }
            is_from_this_call = true;
        }
        ledger changed = this->latest;
        const bool is_joined = this->known_before && join(changed, *this->known_before);
        const bool is_changed = apply(changed);
        if (!is_changed && !is_joined) {
            if (is_from_this_call) {
                this->known_before.reset();
                return changed;
            }
            // Other nodes may have written since; only a conditional write would have shown it.
            this->is_latest_valid = false;
            continue;
        }
        ++this->call_count;
        core::result<platform::put_outcome> outcome = store.put(this->key, to_json(changed), this->version);
        if (!outcome) {
            if (outcome.error().run != core::verdict::not_run) {
                this->is_latest_valid = false;
                this->unknown_write = this->version;
            }
            return tl::unexpected(this->with_unknown_write(outcome.error()));
        }
        if (outcome->applied) {
            // A revision that was given out again meets the condition of a write from before a restore. What
            // the write has replaced is brought back by its writers, who see an earlier generation in it.
            this->generation = std::max(this->generation, outcome->generation);
            changed.generation = this->generation;
            this->known_before.reset();
            this->set_latest(outcome->version, changed);
            return changed;
        }
        this->is_latest_valid = false;
        if (outcome->current) {
            core::result<ledger> current = ledger_from_json(outcome->current->value);
            if (!current) {
                return tl::unexpected(this->with_unknown_write(current.error()));
            }
            this->receive(outcome->current->version, outcome->generation, std::move(*current));
            is_from_this_call = true;
        }
    }
    // The last conflict may have returned a ledger that contains an earlier write of unknown outcome.
    return core::failure(core::error_code::conflict, "ledger " + this->key + " is under contention",
                         core::verdict::may_have_run);
}

} // namespace samphireway::escrow
