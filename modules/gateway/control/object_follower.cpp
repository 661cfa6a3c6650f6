#include "gateway/control/object_follower.h"

#include <algorithm>
#include <utility>

namespace samphireway::gateway {

namespace {

// The wait of a call that only shows whether the object API answers.
constexpr std::chrono::milliseconds confirming_wait{1};
// Pause before a list is tried again that could not be read to its end; changes are followed meanwhile.
constexpr std::chrono::milliseconds partial_list_interval{10000};
// A watch that fails later than this after its wait was not cut off: the object API was silent.
constexpr std::chrono::milliseconds answer_margin{300};

} // namespace

object_follower::object_follower(follower_options options_to_use)
    : options(std::move(options_to_use)), next_retry_delay(this->options.initial_retry_delay)
{
}

object_follower::~object_follower()
{
    this->stop();
}

void object_follower::start()
{
    this->thread = std::thread([this] { this->run(); });
}

void object_follower::stop()
{
    {
        const std::lock_guard lock(this->mutex);
        this->is_stopping = true;
    }
    this->wake.notify_all();
    if (this->thread.joinable()) {
        this->thread.join();
    }
}

void object_follower::set_active(bool should_call)
{
    if (this->is_active == should_call) {
        return;
    }
    {
        const std::lock_guard lock(this->mutex);
        this->is_active = should_call;
    }
    this->wake.notify_all();
}

void object_follower::run()
{
    while (!this->is_stopping) {
        this->await_activation();
        if (!this->is_stopping && !core::run_guarded("follower", [this] { this->follow_once(); })) {
            this->pause(this->options.initial_retry_delay);
        }
    }
}

void object_follower::follow_once()
{
    const follower_pace pace = this->options.pace();
    this->asked_at = std::chrono::steady_clock::now();
    core::result<followed_batch> next = this->read_next(pace);
    if (next) {
        next->asked_at = this->asked_at;
        const bool is_list = next->is_full_list || next->is_partial_list;
        this->must_list = false;
        this->must_confirm = false;
        this->may_list_at_once = this->may_list_at_once || !is_list;
        this->next_retry_delay = is_list ? this->next_retry_delay : this->options.initial_retry_delay;
        this->received_position = next->batch.position();
        const bool has_changes = !next->batch.changed.empty();
        this->options.on_batch(std::move(*next));
        if (has_changes) {
            this->pause(pace.minimum_interval);
        }
        return;
    }
    if (this->is_stopping) {
        return;
    }
    this->must_confirm = true;
    const core::steady_time now = std::chrono::steady_clock::now();
    if (this->was_cut(next.error(), now)) {
        this->options.on_cut(this->asked_at, now);
        // Where every watch is cut off at once, the calls must not follow each other without a pause.
        const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(now - this->asked_at);
        this->pause(std::max(this->options.initial_retry_delay - waited, std::chrono::milliseconds(0)));
        return;
    }
    this->options.on_failure(next.error());
    if (next.error().code == core::error_code::history_gone) {
        this->prepare_list(pace);
        return;
    }
    this->wait_before_retry(pace);
}

bool object_follower::was_cut(const core::error& failure, core::steady_time now) const
{
    const bool is_refused =
        failure.code == core::error_code::history_gone || failure.code == core::error_code::rate_limited;
    return this->watch_until && now < *this->watch_until + answer_margin && !is_refused;
}

void object_follower::prepare_list(const follower_pace& pace)
{
    this->must_list = true;
    // A store whose lists name revisions that it does not keep must not be called without a pause.
    if (!std::exchange(this->may_list_at_once, false)) {
        this->wait_before_retry(pace);
    }
}

void object_follower::wait_before_retry(const follower_pace& pace)
{
    this->pause(std::min(this->next_retry_delay, pace.maximum_retry_delay));
    this->next_retry_delay = std::min(this->next_retry_delay * 2, pace.maximum_retry_delay);
}

core::result<followed_batch> object_follower::read_next(const follower_pace& pace)
{
    this->watch_until.reset();
    // The control thread may not have applied the last batch yet.
    const std::optional<platform::store_position> known =
        this->must_list ? std::nullopt : std::max(this->options.known_position(), this->received_position);
    if (known && this->options.holds_partial_list() &&
        std::chrono::steady_clock::now() >= this->list_again_at) {
        return this->list_again(*known);
    }
    // The first call after a failure or a sleep does not wait for changes, so that contact is known at once.
    // Else it would be dated by the next change, whose removals would then be held as after an outage.
    const std::chrono::milliseconds wait = this->must_confirm ? confirming_wait : pace.watch_wait;
    if (known && !this->must_confirm) {
        this->watch_until = this->asked_at + wait;
    }
    core::result<platform::watch_batch> batch =
        known ? this->options.store.watch(this->options.prefix, known->revision,
                                          std::chrono::steady_clock::now() + wait)
              : this->options.store.list(this->options.prefix);
    if (!batch) {
        return tl::unexpected(batch.error());
    }
    if (known && batch->generation != known->generation) {
        return core::failure(core::error_code::history_gone, "the object API was restored from a backup");
    }
    const bool is_partial_list = !known && batch->is_partial;
    if (is_partial_list) {
        this->list_again_at = std::chrono::steady_clock::now() + partial_list_interval;
    }
    return followed_batch{.batch = std::move(*batch),
                          .is_full_list = !known && !is_partial_list,
                          .is_partial_list = is_partial_list,
                          .after = known ? known->revision : 0};
}

core::result<followed_batch> object_follower::list_again(const platform::store_position& known)
{
    this->list_again_at = std::chrono::steady_clock::now() + partial_list_interval;
    core::result<platform::watch_batch> batch = this->options.store.list(this->options.prefix);
    if (!batch) {
        return tl::unexpected(batch.error());
    }
    if (batch->is_partial && batch->generation != known.generation) {
        return followed_batch{.batch = std::move(*batch), .is_partial_list = true};
    }
    if (batch->is_partial) {
        // Objects behind the unreadable part are known by their changes alone, so none may be skipped.
        return followed_batch{
            .batch = {.revision = known.revision, .changed = {}, .generation = known.generation},
            .after = known.revision};
    }
    return followed_batch{.batch = std::move(*batch), .is_full_list = true};
}

void object_follower::pause(std::chrono::milliseconds length)
{
    if (length.count() == 0) {
        return;
    }
    std::unique_lock lock(this->mutex);
    this->wake.wait_for(lock, length, [this] { return this->is_stopping || !this->is_active; });
}

void object_follower::await_activation()
{
    std::unique_lock lock(this->mutex);
    this->must_confirm = this->must_confirm || !this->is_active;
    this->wake.wait(lock, [this] { return this->is_stopping || this->is_active; });
}

} // namespace samphireway::gateway
