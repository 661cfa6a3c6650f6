#include "gateway/exchange/memory_account.h"

#include <utility>

namespace samphireway::gateway {

bool memory_account::keep(owner kept_for, std::size_t bytes, std::function<void()> give_up)
{
    const bool can_be_given_up = static_cast<bool>(give_up);
    this->release(kept_for);
    this->sum += bytes;
    this->messages[kept_for] = kept_message{.bytes = bytes, .give_up = std::move(give_up)};
    while (this->sum > this->limit) {
        const auto largest = this->find_largest();
        const bool is_own = largest == this->messages.end() || largest->first == kept_for;
        if (is_own && !can_be_given_up) {
            return true;
        }
        const std::function<void()> give_up_largest =
            is_own ? std::function<void()>() : std::move(largest->second.give_up);
        this->release(is_own ? kept_for : largest->first);
        if (is_own) {
            return false;
        }
        give_up_largest();
    }
    return true;
}

std::map<memory_account::owner, memory_account::kept_message>::iterator memory_account::find_largest()
{
    auto largest = this->messages.end();
    for (auto each = this->messages.begin(); each != this->messages.end(); ++each) {
        const bool is_larger = largest == this->messages.end() || each->second.bytes > largest->second.bytes;
        if (each->second.give_up && is_larger) {
            largest = each;
        }
    }
    return largest;
}

void memory_account::release(owner kept_for)
{
    const auto found = this->messages.find(kept_for);
    if (found == this->messages.end()) {
        return;
    }
    this->sum -= found->second.bytes;
    this->messages.erase(found);
}

} // namespace samphireway::gateway
