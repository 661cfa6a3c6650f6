#include "gateway/relay/relay_subscription.h"

#include <algorithm>

namespace samphireway::gateway {

namespace {

using std::chrono::milliseconds;

// Bounds of the pause before a candidate that has failed is asked again.
constexpr milliseconds first_pause{500};
constexpr milliseconds longest_pause{8000};
// A relay that is reachable but not current becomes current soon after the object API is back.
constexpr milliseconds longest_pause_if_reachable{1500};

/** Returns whether a relay is of an earlier generation of the store than the asking node. */
bool is_of_earlier_generation(const feed_status& status, const std::optional<platform::store_position>& asked)
{
    return asked && status.position.generation < asked->generation;
}

} // namespace

void relay_subscription::set_candidates(std::vector<member> candidates_to_use)
{
    this->candidates = std::move(candidates_to_use);
    std::erase_if(this->states, [this](const auto& state) {
        return std::none_of(this->candidates.begin(), this->candidates.end(),
                            [&state](const member& candidate) { return candidate.token == state.first; });
    });
}

void relay_subscription::tick(bool should_poll)
{
    this->is_wanted = should_poll;
    if (!this->source_id.empty() && !this->is_current()) {
        this->set_source("", "not_current");
    }
    if (this->is_wanted && !this->is_polling) {
        this->poll();
    }
}

bool relay_subscription::is_current() const
{
    return this->options.time.steady() < this->current_until;
}

const member* relay_subscription::choose(core::steady_time now)
{
    for (const member& candidate : this->candidates) {
        if (now >= this->states[candidate.token].skipped_until) {
            return &candidate;
        }
    }
    return nullptr;
}

void relay_subscription::poll()
{
    const core::steady_time now = this->options.time.steady();
    const member* const chosen = this->choose(now);
    if (chosen == nullptr) {
        return;
    }
    // A relay that is not the source is asked without a wait, so that its state is known at once.
    const bool is_source = chosen->id == this->source_id;
    relay_poll request = this->options.make_poll();
    request.wait = is_source ? this->options.poll_wait : milliseconds(0);
    this->is_polling = true;
    this->options.send(*chosen, request, now + request.wait + this->options.answer_timeout,
                       [this, relay = *chosen, asked = request.known](
                           const core::result<relay_reply>& reply) { this->on_reply(relay, asked, reply); });
}

void relay_subscription::on_reply(const member& relay, const known_positions& asked,
                                  const core::result<relay_reply>& reply)
{
    this->is_polling = false;
    const core::steady_time now = this->options.time.steady();
    if (!reply) {
        this->on_failure(relay, reply.error().message, longest_pause);
    }
    else {
        this->apply(relay, *reply, asked, now);
        const milliseconds age = this->age_of(*reply, asked);
        if (age < this->options.maximum_age) {
            this->states[relay.token] = {};
            this->current_until = std::max(this->current_until, now + this->options.maximum_age - age);
            this->set_source(relay.id, "current");
        }
        else {
            this->on_failure(relay, "not_current", longest_pause_if_reachable);
        }
    }
    if (this->is_wanted) {
        this->poll();
    }
}

void relay_subscription::apply(const member& relay, const relay_reply& reply, const known_positions& asked,
                               core::steady_time now)
{
    this->options.on_in_contact(reply.in_contact);
    for (const feed_kind kind : all_feeds) {
        const std::optional<feed_status>& status = reply.status[kind];
        if (!status || is_of_earlier_generation(*status, asked[kind])) {
            continue;
        }
        const store_contact contact{.answered_at = now - status->age,
                                    .connected_since = now - status->connected};
        this->options.on_contact(kind, contact);
        if (reply.news[kind]) {
            followed_batch batch = *reply.news[kind];
            batch.connected_since = contact.connected_since;
            batch.source = relay.id;
            this->options.on_batch(kind, batch);
        }
        else if (asked[kind] && status->position > *asked[kind]) {
            // Nothing has changed up to the relay's revision.
            this->options.on_batch(kind, {.batch = {.revision = status->position.revision,
                                                    .changed = {},
                                                    .generation = status->position.generation},
                                          .after = asked[kind]->revision,
                                          .connected_since = contact.connected_since,
                                          .source = relay.id});
        }
    }
}

milliseconds relay_subscription::age_of(const relay_reply& reply, const known_positions& asked) const
{
    // Relays watch the configuration with the shortest calls, so its age shows their contact.
    bool is_complete = true;
    for (const feed_kind kind : {feed_kind::configuration, feed_kind::upstreams}) {
        is_complete =
            is_complete && reply.status[kind] && !is_of_earlier_generation(*reply.status[kind], asked[kind]);
    }
    return is_complete ? reply.status[feed_kind::configuration]->age : this->options.maximum_age;
}

void relay_subscription::on_failure(const member& relay, std::string_view reason, milliseconds maximum_pause)
{
    candidate_state& state = this->states[relay.token];
    if (state.next_pause.count() == 0) {
        core::log_event(core::log_level::info, "relay_failed", {{"relay", relay.id}, {"reason", reason}});
    }
    state.next_pause = std::clamp(state.next_pause * 2, first_pause, maximum_pause);
    state.skipped_until = this->options.time.steady() + state.next_pause;
    if (relay.id == this->source_id) {
        this->set_source("", reason);
    }
}

void relay_subscription::set_source(const std::string& id, std::string_view reason)
{
    if (id == this->source_id) {
        return;
    }
    core::log_event(core::log_level::info, "source_changed",
                    {{"before", this->source_id}, {"relay", id}, {"reason", reason}});
    this->source_id = id;
    ++this->switch_count;
}

} // namespace samphireway::gateway
