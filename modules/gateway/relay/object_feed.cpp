#include "gateway/relay/object_feed.h"

namespace samphireway::gateway {

namespace {

// A node that lacks more removals than these is sent all objects, which costs about as much.
constexpr std::size_t maximum_removals = 512;

} // namespace

bool object_feed::accept(const followed_batch& received)
{
    const platform::store_position next = received.batch.position();
    const bool completes = this->holds_partial_list && received.is_full_list;
    if (this->held && (completes ? next < *this->held : next <= *this->held)) {
        return false;
    }
    const bool is_list = received.is_full_list || received.is_partial_list;
    const platform::store_position after{.generation = next.generation, .revision = received.after};
    const bool is_other_generation = this->held && next.generation != this->held->generation;
    const bool leaves_gap = !is_list && (!this->held || is_other_generation || after > *this->held);
    if (leaves_gap) {
        return false;
    }
    if (received.is_full_list) {
        this->replace_all(received);
    }
    else {
        this->apply_changes(received);
    }
    this->holds_partial_list = received.is_partial_list || (this->holds_partial_list && !completes);
    this->held = next;
    return true;
}

void object_feed::replace_all(const followed_batch& received)
{
    this->objects.clear();
    for (const platform::object& changed : received.batch.changed) {
        if (!changed.value.isNull()) {
            this->objects[changed.key] = changed;
        }
    }
    this->removals.clear();
    this->complete_since = received.batch.revision;
    this->last_changed_revision = received.batch.revision;
}

void object_feed::apply_changes(const followed_batch& received)
{
    for (const platform::object& changed : received.batch.changed) {
        if (changed.value.isNull()) {
            this->objects.erase(changed.key);
            this->removals.push_back({.revision = received.batch.revision, .key = changed.key});
        }
        else {
            this->objects[changed.key] = changed;
        }
        this->last_changed_revision = received.batch.revision;
    }
    while (this->removals.size() > maximum_removals) {
        this->complete_since = this->removals.front().revision;
        this->removals.pop_front();
    }
}

std::optional<followed_batch>
object_feed::changes_since(const std::optional<platform::store_position>& known) const
{
    if (!this->has_changed_since(known)) {
        return std::nullopt;
    }
    const platform::store_position complete{.generation = this->held->generation,
                                            .revision = this->complete_since};
    followed_batch result{
        .batch = {.revision = this->held->revision, .changed = {}, .generation = this->held->generation},
        .is_full_list = !known || *known < complete,
        .after = known ? known->revision : 0};
    if (!result.is_full_list) {
        for (const removal& removed : this->removals) {
            if (removed.revision > known->revision && !this->objects.contains(removed.key)) {
                result.batch.changed.push_back({.key = removed.key, .version = removed.revision});
            }
        }
    }
    for (const auto& [key, object] : this->objects) {
        if (result.is_full_list || object.version > known->revision) {
            result.batch.changed.push_back(object);
        }
    }
    return result;
}

void object_feed::record_contact(const store_contact& seen)
{
    if (!this->last_contact || seen.answered_at > this->last_contact->answered_at) {
        this->last_contact = seen;
    }
}

} // namespace samphireway::gateway
