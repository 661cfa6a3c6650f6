#include "membership/messages/replay_window.h"

namespace samphireway::membership {

namespace {

constexpr std::uint64_t window_bits = 64;

} // namespace

bool replay_window::accept(const std::string& sender_incarnation, std::uint64_t counter, core::wall_time now)
{
    const std::lock_guard lock(this->mutex);
    sender_state& state = this->senders[sender_incarnation];
    state.last = now;
    if (counter > state.highest) {
        const std::uint64_t step = counter - state.highest;
        state.seen = step >= window_bits ? 0 : state.seen << step;
        state.seen |= 1U;
        state.highest = counter;
        return true;
    }
    const std::uint64_t age = state.highest - counter;
    if (age >= window_bits) {
        return false;
    }
    const std::uint64_t bit = std::uint64_t{1} << age;
    const bool is_new = (state.seen & bit) == 0;
    state.seen |= bit;
    return is_new;
}

void replay_window::remove_senders_before(core::wall_time oldest)
{
    const std::lock_guard lock(this->mutex);
    std::erase_if(this->senders, [oldest](const auto& entry) { return entry.second.last < oldest; });
}

std::size_t replay_window::size() const
{
    const std::lock_guard lock(this->mutex);
    return this->senders.size();
}

} // namespace samphireway::membership
