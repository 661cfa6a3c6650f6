#include "gateway/relay/relay_hub.h"

#include <utility>

namespace samphireway::gateway {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// More nodes than ask one relay in the largest fleet; bounds the memory that peers can use.
constexpr std::size_t maximum_waiters = 1024;

std::optional<feed_status> status_of(const object_feed& feed, core::steady_time now)
{
    if (!feed.position() || !feed.contact() || feed.is_partial()) {
        return std::nullopt;
    }
    return feed_status{.position = *feed.position(),
                       .age = duration_cast<milliseconds>(now - feed.contact()->answered_at),
                       .connected = duration_cast<milliseconds>(now - feed.contact()->connected_since)};
}

} // namespace

core::result<void> relay_hub::poll(const relay_poll& request, core::steady_time now, answer_handler on_answer)
{
    if (request.is_in_contact) {
        this->contacts.record(request.node, now);
    }
    const known_positions known = this->read_known(request);
    if (request.wait.count() == 0 || this->has_news(known)) {
        on_answer(this->encode(known, now));
        return {};
    }
    if (this->waiters.size() >= maximum_waiters) {
        return core::failure(core::error_code::overloaded, "too many polls are waiting");
    }
    this->waiters.push_back(
        {.known = known, .deadline = now + request.wait, .on_answer = std::move(on_answer)});
    return {};
}

void relay_hub::publish(core::steady_time now)
{
    for (auto entry = this->waiters.begin(); entry != this->waiters.end();) {
        if (!this->has_news(entry->known)) {
            ++entry;
            continue;
        }
        entry->on_answer(this->encode(entry->known, now));
        entry = this->waiters.erase(entry);
    }
}

void relay_hub::expire(core::steady_time now)
{
    for (auto entry = this->waiters.begin(); entry != this->waiters.end();) {
        if (now < entry->deadline) {
            ++entry;
            continue;
        }
        entry->on_answer(this->encode(entry->known, now));
        entry = this->waiters.erase(entry);
    }
}

known_positions relay_hub::read_known(const relay_poll& request) const
{
    known_positions known = request.known;
    for (const feed_kind kind : all_feeds) {
        // A node that names no generations compares revisions alone, so it would drop a list and ask again at
        // once.
        if (!request.names_generations && known[kind] && this->feeds[kind].position()) {
            known[kind]->generation = this->feeds[kind].position()->generation;
        }
    }
    return known;
}

bool relay_hub::has_news(const known_positions& known) const
{
    bool found = false;
    for (const feed_kind kind : all_feeds) {
        found = found || this->feeds[kind].has_changed_since(known[kind]);
    }
    return found;
}

encoded_reply relay_hub::encode(const known_positions& known, core::steady_time now)
{
    per_feed<std::optional<feed_status>> status;
    for (const feed_kind kind : all_feeds) {
        status[kind] = status_of(this->feeds[kind], now);
    }
    return encoded_reply{.status = make_relay_status(status, this->contacts.read(now)),
                         .news = this->encode_news(known)};
}

const std::string& relay_hub::encode_news(const known_positions& known)
{
    const known_positions now_current = this->current();
    if (known != this->encoded_known || now_current != this->encoded_current) {
        per_feed<std::optional<followed_batch>> news;
        for (const feed_kind kind : all_feeds) {
            news[kind] = this->feeds[kind].changes_since(known[kind]);
        }
        this->encoded_news = make_relay_news(news);
        this->encoded_known = known;
        this->encoded_current = now_current;
    }
    return this->encoded_news;
}

known_positions relay_hub::current() const
{
    known_positions result;
    for (const feed_kind kind : all_feeds) {
        result[kind] = this->feeds[kind].position();
    }
    return result;
}

} // namespace samphireway::gateway
